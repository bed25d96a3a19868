package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"scalechute/internal/platform"
	"scalechute/internal/soak"
)

// builtWithRaceDetector reports whether this program was.
func builtWithRaceDetector() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

// soakCommand returns the command that runs soak tests.
func soakCommand() *cobra.Command {
	var seed uint64
	var runs, atOnce, pipelineDepth, clients, answerBytes int
	var pause time.Duration
	var faultName string
	var mixed, troubles, outages, showLog bool
	choosePlan := func(seed uint64) *soak.Plan {
		switch {
		case faultName != "":
			return soak.FaultPlan(seed, faultName)
		case pipelineDepth > 0:
			return soak.PipelinePlan(seed, clients, pipelineDepth, pause, answerBytes)
		case mixed:
			return soak.MixedPlan(seed)
		case troubles:
			return soak.TroublePlan(seed)
		case outages:
			return soak.OutagePlan(seed)
		}
		return soak.RandomPlan(seed)
	}
	c := &cobra.Command{
		Use:   "soak --seed N --runs N",
		Short: "Run the real process under SIGHUP, SIGTERM and SIGKILL and print one line per run; exit 0 only if every guarantee holds",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := platform.ParseFault(faultName); err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			options := soak.Options{Program: selfCommand(executable), Log: io.Discard, CheckMemory: !builtWithRaceDetector()}
			if showLog {
				options.Log = c.ErrOrStderr()
			}
			plans := make([]*soak.Plan, max(runs, 0))
			for i := range plans {
				plans[i] = choosePlan(seed + uint64(i))
			}
			failedRuns := 0
			for result, err := range soak.RunAll(plans, options, atOnce) {
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
				return errors.New(fmt.Sprint(failedRuns, " of ", runs, " runs violated a guarantee"))
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run; each further run has the next")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs")
	c.Flags().IntVar(&atOnce, "at-once", 1, "number of runs that are played beside each other")
	c.Flags().BoolVar(&mixed, "mixed", false, "random plans with requests that may not be repeated, more commands in pieces, and servers and discovery that end as the process stops")
	c.Flags().BoolVar(&troubles, "troubles", false, "plans with second copies and lost answers, late resets, all connections to servers in use, a build on trial, and the largest requests")
	c.Flags().BoolVar(&outages, "outages", false, "plans with servers that stop reading, answers and commands that do not end, and clients that use up the descriptors")
	c.Flags().IntVar(&pipelineDepth, "open", 0, "open requests per connection, with fixed plans in place of random ones; 0: random plans")
	c.Flags().IntVar(&clients, "clients", 20, "number of clients, with --open")
	c.Flags().IntVar(&answerBytes, "answer", 64, "size of an answer in bytes, with --open")
	c.Flags().DurationVar(&pause, "pause", 0, "maximum pause before the next request, with --open")
	c.Flags().StringVar(&faultName, "break", "", "inject a fault that violates a guarantee into the process: close, skip or swap")
	c.Flags().BoolVar(&showLog, "log", false, "print the log of the process")
	return c
}
