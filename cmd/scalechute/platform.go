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
func servePlatform(level, breach string) error {
	// Before all else: one that comes while the sentry starts is taken once it stands.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	file := os.Getenv("EDGE_CONFIG")
	if file == "" {
		return errors.New("EDGE_CONFIG: found nothing, expected the name of the configuration's file")
	}
	post, err := platform.ReadConfig(file)
	if err != nil {
		return err
	}
	at, err := zerolog.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("level: found %q, expected debug, info, warn or error", level)
	}
	runtime.GOMAXPROCS(1 + int(math.Ceil(post.Cores))) // one waits for sockets
	debug.SetMemoryLimit(post.MemoryMB << 20 * 6 / 10)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	log := zerolog.New(os.Stderr).Level(at).With().Timestamp().Str("sentry", post.Name).Logger()
	broken, err := platform.ParseBreach(breach)
	if err != nil {
		return err
	}
	ends, err := platform.New(post, log)
	if err != nil {
		return err
	}
	ends.SetBreach(broken)
	if broken != platform.NoBreach {
		log.Warn().Str("promise", breach).Msg("this sentry breaks a promise on purpose")
	}
	s, err := sentry.Start(post.Settings, sentry.Options{Log: log, Transport: ends, CachedList: post.InitialList})
	if err != nil {
		return err
	}
	for {
		select {
		case <-s.Done():
			return nil
		case <-signals:
			log.Info().Msg("asked to stop")
			ends.Drain()
		case <-hangups:
			now, err := platform.ReadConfig(file)
			if err == nil {
				err = ends.Reload(now)
			}
			if err != nil {
				log.Error().Err(err).Msg("configuration refused, the old one stays")
				continue
			}
			log.Info().Msg("configuration taken")
		}
	}
}
