// Command scalechute is the release controller: the sentry that routes transactions between builds, and the tools
// around it.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"scalechute/internal/baseline"
	"scalechute/internal/orders"
	"scalechute/internal/sentry"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "scalechute",
		Short:         "Release controller with the router that moves traffic between builds",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(sentryCommand(), checkCommand(), drillCommand(), matchCommand(), measureCommand(), planCommand(), soakCommand())
	return c
}

func sentryCommand() *cobra.Command {
	var configFile, levelName, faultName, profileFile string
	var random, onPlatform bool
	var pollInterval time.Duration
	c := &cobra.Command{
		Use:   "sentry --config FILE | --platform",
		Short: "Run one sentry until SIGTERM; it then takes nothing new and answers all it holds",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if onPlatform {
				return servePlatform(levelName, faultName)
			}
			if configFile == "" {
				return errors.New("found neither --config nor --platform, expected one")
			}
			settings, err := orders.Load(configFile)
			if err != nil {
				return err
			}
			level, err := zerolog.ParseLevel(levelName)
			if err != nil {
				return fmt.Errorf("level: found %q, expected debug, info, warn or error", levelName)
			}
			breach, err := sentry.ParseBreach(faultName)
			if err != nil {
				return err
			}
			zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
			log := zerolog.New(os.Stderr).Level(level).With().Timestamp().
				Int("sentry", int(settings.Policy.Position)).Logger()
			if breach != sentry.NoBreach {
				log.Warn().Str("rule", faultName).Msg("this sentry breaks a rule on purpose")
			}
			if profileFile != "" {
				f, err := os.Create(profileFile)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			signal.Notify(hangups, syscall.SIGHUP)
			options := sentry.Options{Log: log, Breach: breach}
			if random {
				log.Warn().Msg("workers are chosen at random, as a baseline")
				options.Decide = baseline.NewRandom(settings.Policy, settings.Endpoints.Seed).Apply
			}
			s, err := sentry.Start(settings, options)
			if err != nil {
				return err
			}
			go func() {
				for range signals {
					s.Stop()
				}
			}()
			watchFiles(append([]string{configFile}, settings.IncludedFiles...), pollInterval, hangups, s.Done(), func() []string {
				updated, err := orders.LoadUpdate(configFile, s.Settings())
				if err == nil {
					err = s.Reload(updated)
				}
				s.RecordReload(updated, err)
				return append([]string{configFile}, s.Settings().IncludedFiles...)
			})
			return nil
		},
	}
	c.Flags().StringVar(&configFile, "config", "", "the sentry's orders (HCL)")
	c.Flags().StringVar(&levelName, "level", "info", "least level of what is logged")
	c.Flags().StringVar(&faultName, "break", "", "break a rule on purpose: answer, effect, drain, cold or exposure; with --platform close, skip or swap")
	c.Flags().StringVar(&profileFile, "profile", "", "write a processor profile to this file until the end")
	c.Flags().DurationVar(&pollInterval, "watch", time.Second, "how often the file is looked at for new orders; 0: at SIGHUP only")
	c.Flags().BoolVar(&onPlatform, "platform", false, "serve on the operators' platform, as its environment says")
	c.Flags().BoolVar(&random, "random", false, "choose workers at random, as a baseline for drills")
	_ = c.Flags().MarkHidden("break")
	_ = c.Flags().MarkHidden("random")
	return c
}

// watch calls back at each hangup and when one of some files is another one or has changed, until done; what it gets is the
// files to watch from then on. A file that is away for the moment, as between two steps of its replacement, counts as
// unchanged.
func watchFiles(files []string, interval time.Duration, hangups <-chan os.Signal, done <-chan struct{}, onChange func() []string) {
	var ticks <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	last := map[string]os.FileInfo{}
	detectChange := func() (changed bool) {
		for _, file := range files {
			current, err := os.Stat(file)
			if err != nil {
				continue
			}
			previous := last[file]
			changed = changed || previous != nil && !(os.SameFile(previous, current) && current.ModTime().Equal(previous.ModTime()) && current.Size() == previous.Size())
			last[file] = current
		}
		return changed
	}
	detectChange()
	for {
		select {
		case <-done:
			return
		case <-hangups:
			detectChange()
		case <-ticks:
			if !detectChange() {
				continue
			}
		}
		files = onChange()
	}
}

func checkCommand() *cobra.Command {
	runningFile := ""
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check sentries' orders; each fault is a line with file, line and what was expected",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			faultyFiles := 0
			var running *orders.Settings
			if runningFile != "" {
				var err error
				if running, err = orders.Load(runningFile); err != nil {
					return err
				}
			}
			for _, name := range files {
				settings, err := orders.LoadUpdate(name, running)
				if err != nil {
					faultyFiles++
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good; sentry %d of %d, %d profiles, %d accounts, %d zones, %s\n", name,
					settings.Policy.Position, settings.Policy.Sentries, len(settings.ProfileNames), len(settings.AccountNames),
					len(settings.Zones), settings.Routes.Summary())
				if settings.Routes != nil {
					for _, note := range settings.Routes.Notes {
						fmt.Fprintln(c.OutOrStdout(), note)
					}
				}
			}
			if faultyFiles > 0 {
				return fmt.Errorf("%d of %d files have faults", faultyFiles, len(files))
			}
			return nil
		},
	}
	c.Flags().StringVar(&runningFile, "beside", "", "the orders that a sentry runs with: what it can't change over to is a fault too")
	return c
}
