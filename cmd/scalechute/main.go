// Command scalechute is the release controller. It runs a sentry, which routes transactions between builds, and has
// tools to check settings, routes and release plans, to run drills and soak tests, and to measure a sentry.
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

// root returns the command with all subcommands.
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

// sentryCommand returns the command that runs one sentry until it has drained after SIGTERM or SIGINT.
func sentryCommand() *cobra.Command {
	var configFile, levelName, faultName, profileFile string
	var random, onPlatform bool
	var pollInterval time.Duration
	c := &cobra.Command{
		Use:   "sentry --config FILE | --platform",
		Short: "Run one sentry; on SIGTERM it refuses new transactions, answers the open ones and exits",
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
			fault, err := sentry.ParseFault(faultName)
			if err != nil {
				return err
			}
			zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
			log := zerolog.New(os.Stderr).Level(level).With().Timestamp().
				Int("sentry", int(settings.Policy.Position)).Logger()
			if fault != sentry.NoFault {
				log.Warn().Str("rule", faultName).Msg("injected fault: this sentry breaks a rule on purpose")
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
			options := sentry.Options{Log: log, InjectedFault: fault}
			if random {
				log.Warn().Msg("choosing workers at random, as a baseline")
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
	c.Flags().StringVar(&configFile, "config", "", "the sentry's settings file (HCL)")
	c.Flags().StringVar(&levelName, "level", "info", "minimum level of log lines: debug, info, warn or error")
	c.Flags().StringVar(&faultName, "break", "", "inject a fault that breaks a rule: answer, effect, drain, cold or exposure; with --platform a guarantee: close, skip or swap")
	c.Flags().StringVar(&profileFile, "profile", "", "write a CPU profile of the whole run to this file")
	c.Flags().DurationVar(&pollInterval, "watch", time.Second, "interval at which the settings files are checked for changes; 0: only at SIGHUP")
	c.Flags().BoolVar(&onPlatform, "platform", false, "run on the operators' platform, with the configuration that EDGE_CONFIG names")
	c.Flags().BoolVar(&random, "random", false, "choose workers at random, as the baseline of drills")
	_ = c.Flags().MarkHidden("break")
	_ = c.Flags().MarkHidden("random")
	return c
}

// watchFiles calls onChange at each hangup and whenever one of the files has changed or has been replaced, until done
// is closed. It checks the files at the interval, or only at hangups if the interval is 0. onChange returns the files
// to watch from then on. A file that does not exist at a check, as in the middle of its replacement, counts as
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
			changed = changed || previous != nil &&
				!(os.SameFile(previous, current) && current.ModTime().Equal(previous.ModTime()) && current.Size() == previous.Size())
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

// checkCommand returns the command that checks settings files.
func checkCommand() *cobra.Command {
	runningFile := ""
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files of sentries; each error is one line with the file, the line and what was expected",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			invalidFiles := 0
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
					invalidFiles++
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good; sentry %d of %d, %d profiles, %d accounts, %d zones, %s\n", name,
					settings.Policy.Position, settings.Policy.Sentries, len(settings.ProfileNames), len(settings.AccountNames),
					len(settings.Zones), settings.Routes.Summary())
				if settings.Routes != nil {
					for _, warning := range settings.Routes.Warnings {
						fmt.Fprintln(c.OutOrStdout(), warning)
					}
				}
			}
			if invalidFiles > 0 {
				return fmt.Errorf("%d of %d files have errors", invalidFiles, len(files))
			}
			return nil
		},
	}
	c.Flags().StringVar(&runningFile, "beside", "", "the settings file of a running sentry: a change that a reload cannot make is an error too")
	return c
}
