package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"scalechute/internal/platform"
	"scalechute/internal/soak"
)

func soakCommand() *cobra.Command {
	var seed uint64
	var runs, open, clients, answer int
	var pause time.Duration
	var breach string
	var logged bool
	c := &cobra.Command{
		Use:   "soak --seed N --runs N",
		Short: "Play the real process under SIGHUP, SIGTERM and SIGKILL, a line a run; exit 0 only if no request is lost",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := platform.ParseBreach(breach); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			options := soak.Options{Program: program(self), Log: io.Discard}
			if logged {
				options.Log = c.ErrOrStderr()
			}
			bad := 0
			for n := range uint64(max(runs, 0)) {
				plan := soak.RandomPlan(seed + n)
				if open > 0 {
					plan = soak.PipelinePlan(seed+n, clients, open, pause, answer)
				}
				if breach != "" {
					plan = soak.FaultPlan(seed+n, breach)
				}
				result, err := soak.Run(plan, options)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), result)
				for _, example := range result.Examples {
					fmt.Fprintln(c.OutOrStdout(), "  "+example)
				}
				if !result.Passed() {
					bad++
				}
			}
			if bad > 0 {
				return errors.New(fmt.Sprint(bad, " of ", runs, " runs broke a promise"))
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run; each further run has the next")
	c.Flags().IntVar(&runs, "runs", 1, "how many runs")
	c.Flags().IntVar(&open, "open", 0, "requests open on each connection, in place of what the seed draws")
	c.Flags().IntVar(&clients, "clients", 20, "clients, with --open")
	c.Flags().IntVar(&answer, "answer", 64, "bytes of an answer, with --open")
	c.Flags().DurationVar(&pause, "pause", 0, "pause before the next request at the most, with --open")
	c.Flags().StringVar(&breach, "break", "", "have the process break a promise: close, skip or swap")
	c.Flags().BoolVar(&logged, "log", false, "show the process's log")
	return c
}
