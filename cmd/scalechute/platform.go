package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"scalechute/internal/platform"
	"scalechute/internal/sentry"
)

// servePlatform runs one sentry on the platform, with the configuration that EDGE_CONFIG names. After SIGTERM it drains
// and returns. The metrics page, the file of the cached list and the watch on the configuration file are off, because
// the platform makes no provision for them.
func servePlatform(levelName, faultName string) error {
	// Signals are registered first, so that one that arrives during the start is handled once the sentry runs.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	file := os.Getenv("EDGE_CONFIG")
	if file == "" {
		return errors.New("EDGE_CONFIG: found nothing, expected the name of the configuration file")
	}
	config, err := platform.ReadConfig(file)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		return fmt.Errorf("level: found %q, expected debug, info, warn or error", levelName)
	}
	runtime.GOMAXPROCS(1 + int(math.Ceil(config.Cores))) // one more for the goroutine that waits for sockets
	debug.SetMemoryLimit(config.MemoryMB << 20 * 6 / 10)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("sentry", config.Name).Logger()
	fault, err := platform.ParseFault(faultName)
	if err != nil {
		return err
	}
	transport, err := platform.New(config, log)
	if err != nil {
		return err
	}
	transport.SetInjectedFault(fault)
	if fault != platform.NoFault {
		log.Warn().Str("promise", faultName).Msg("injected fault: this sentry violates a guarantee on purpose")
	}
	s, err := sentry.Start(config.Settings, sentry.Options{Log: log, Transport: transport, CachedList: config.InitialList, Memory: transport.Memory()})
	if err != nil {
		return err
	}
	for {
		select {
		case <-s.Done():
			return nil
		case <-signals:
			log.Info().Msg("received a signal to stop; draining")
			transport.Drain()
		case <-hangups:
			updated, err := platform.ReadConfig(file)
			if err == nil {
				err = transport.Reload(updated)
			}
			if err != nil {
				log.Error().Err(err).Msg("configuration rejected; keeping the current one")
				continue
			}
			log.Info().Msg("configuration reloaded")
		}
	}
}
