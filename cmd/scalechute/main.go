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
	var config, level, breach, profile string
	var random, platformed bool
	var every time.Duration
	c := &cobra.Command{
		Use:   "sentry --config FILE | --platform",
		Short: "Run one sentry until SIGTERM; it then takes nothing new and answers all it holds",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if platformed {
				return servePlatform(level, breach)
			}
			if config == "" {
				return errors.New("found neither --config nor --platform, expected one")
			}
			sheet, err := orders.Load(config)
			if err != nil {
				return err
			}
			at, err := zerolog.ParseLevel(level)
			if err != nil {
				return fmt.Errorf("level: found %q, expected debug, info, warn or error", level)
			}
			broken, err := sentry.ParseBreach(breach)
			if err != nil {
				return err
			}
			zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
			log := zerolog.New(os.Stderr).Level(at).With().Timestamp().
				Int("sentry", int(sheet.Policy.Position)).Logger()
			if broken != sentry.NoBreach {
				log.Warn().Str("rule", breach).Msg("this sentry breaks a rule on purpose")
			}
			if profile != "" {
				f, err := os.Create(profile)
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
			opts := sentry.Options{Log: log, Breach: broken}
			if random {
				log.Warn().Msg("workers are chosen at random, as a baseline")
				opts.Decide = baseline.NewRandom(sheet.Policy, sheet.Endpoints.Seed).Apply
			}
			s, err := sentry.Start(sheet, opts)
			if err != nil {
				return err
			}
			go func() {
				for range signals {
					s.Stop()
				}
			}()
			watch(append([]string{config}, sheet.IncludedFiles...), every, hangups, s.Done(), func() []string {
				now, err := orders.LoadUpdate(config, s.Settings())
				if err == nil {
					err = s.Reload(now)
				}
				s.RecordReload(now, err)
				return append([]string{config}, s.Settings().IncludedFiles...)
			})
			return nil
		},
	}
	c.Flags().StringVar(&config, "config", "", "the sentry's orders (HCL)")
	c.Flags().StringVar(&level, "level", "info", "least level of what is logged")
	c.Flags().StringVar(&breach, "break", "", "break a rule on purpose: answer, effect, drain, cold or exposure; with --platform close, skip or swap")
	c.Flags().StringVar(&profile, "profile", "", "write a processor profile to this file until the end")
	c.Flags().DurationVar(&every, "watch", time.Second, "how often the file is looked at for new orders; 0: at SIGHUP only")
	c.Flags().BoolVar(&platformed, "platform", false, "serve on the operators' platform, as its environment says")
	c.Flags().BoolVar(&random, "random", false, "choose workers at random, as a baseline for drills")
	_ = c.Flags().MarkHidden("break")
	_ = c.Flags().MarkHidden("random")
	return c
}

// watch calls back at each hangup and when one of some files is another one or has changed, until done; what it gets is the
// files to watch from then on. A file that is away for the moment, as between two steps of its replacement, counts as
// unchanged.
func watch(files []string, every time.Duration, hangups <-chan os.Signal, done <-chan struct{}, changed func() []string) {
	var tick <-chan time.Time
	if every > 0 {
		t := time.NewTicker(every)
		defer t.Stop()
		tick = t.C
	}
	last := map[string]os.FileInfo{}
	look := func() (other bool) {
		for _, file := range files {
			now, err := os.Stat(file)
			if err != nil {
				continue
			}
			was := last[file]
			other = other || was != nil && !(os.SameFile(was, now) && now.ModTime().Equal(was.ModTime()) && now.Size() == was.Size())
			last[file] = now
		}
		return other
	}
	look()
	for {
		select {
		case <-done:
			return
		case <-hangups:
			look()
		case <-tick:
			if !look() {
				continue
			}
		}
		files = changed()
	}
}

func checkCommand() *cobra.Command {
	beside := ""
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check sentries' orders; each fault is a line with file, line and what was expected",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			bad := 0
			var running *orders.Settings
			if beside != "" {
				var err error
				if running, err = orders.Load(beside); err != nil {
					return err
				}
			}
			for _, name := range files {
				sheet, err := orders.LoadUpdate(name, running)
				if err != nil {
					bad++
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good; sentry %d of %d, %d profiles, %d accounts, %d zones, %s\n", name,
					sheet.Policy.Position, sheet.Policy.Sentries, len(sheet.ProfileNames), len(sheet.AccountNames),
					len(sheet.Zones), sheet.Routes.Summary())
				if sheet.Routes != nil {
					for _, n := range sheet.Routes.Warnings {
						fmt.Fprintln(c.OutOrStdout(), n)
					}
				}
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files have faults", bad, len(files))
			}
			return nil
		},
	}
	c.Flags().StringVar(&beside, "beside", "", "the orders that a sentry runs with: what it can't change over to is a fault too")
	return c
}
