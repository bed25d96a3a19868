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
	var runs, pipelineDepth, clients, answerBytes int
	var pause time.Duration
	var faultName string
	var showLog bool
	c := &cobra.Command{
		Use:   "soak --seed N --runs N",
		Short: "Play the real process under SIGHUP, SIGTERM and SIGKILL, a line a run; exit 0 only if no request is lost",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := platform.ParseFault(faultName); err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			options := soak.Options{Program: selfCommand(executable), Log: io.Discard}
			if showLog {
				options.Log = c.ErrOrStderr()
			}
			failedRuns := 0
			for run := range uint64(max(runs, 0)) {
				plan := soak.RandomPlan(seed + run)
				if pipelineDepth > 0 {
					plan = soak.PipelinePlan(seed+run, clients, pipelineDepth, pause, answerBytes)
				}
				if faultName != "" {
					plan = soak.FaultPlan(seed+run, faultName)
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
					failedRuns++
				}
			}
			if failedRuns > 0 {
				return errors.New(fmt.Sprint(failedRuns, " of ", runs, " runs broke a promise"))
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run; each further run has the next")
	c.Flags().IntVar(&runs, "runs", 1, "how many runs")
	c.Flags().IntVar(&pipelineDepth, "open", 0, "requests open on each connection, in place of what the seed draws")
	c.Flags().IntVar(&clients, "clients", 20, "clients, with --open")
	c.Flags().IntVar(&answerBytes, "answer", 64, "bytes of an answer, with --open")
	c.Flags().DurationVar(&pause, "pause", 0, "pause before the next request at the most, with --open")
	c.Flags().StringVar(&faultName, "break", "", "have the process break a promise: close, skip or swap")
	c.Flags().BoolVar(&showLog, "log", false, "show the process's log")
	return c
}
