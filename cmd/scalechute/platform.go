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

// servePlatform runs one sentry as the platform's environment says, until SIGTERM and what is owed then. Metrics, the file
// of the last list and watched files are off: the platform has no room for them.
func servePlatform(levelName, faultName string) error {
	// Before all else: one that comes while the sentry starts is taken once it stands.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	file := os.Getenv("EDGE_CONFIG")
	if file == "" {
		return errors.New("EDGE_CONFIG: found nothing, expected the name of the configuration's file")
	}
	config, err := platform.ReadConfig(file)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		return fmt.Errorf("level: found %q, expected debug, info, warn or error", levelName)
	}
	runtime.GOMAXPROCS(1 + int(math.Ceil(config.Cores))) // one waits for sockets
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
	transport.InjectFault(fault)
	if fault != platform.NoFault {
		log.Warn().Str("promise", faultName).Msg("this sentry breaks a promise on purpose")
	}
	s, err := sentry.Start(config.Settings, sentry.Options{Log: log, Transport: transport, CachedList: config.InitialList})
	if err != nil {
		return err
	}
	for {
		select {
		case <-s.Done():
			return nil
		case <-signals:
			log.Info().Msg("asked to stop")
			transport.Drain()
		case <-hangups:
			updated, err := platform.ReadConfig(file)
			if err == nil {
				err = transport.Reload(updated)
			}
			if err != nil {
				log.Error().Err(err).Msg("configuration refused, the old one stays")
				continue
			}
			log.Info().Msg("configuration taken")
		}
	}
}
