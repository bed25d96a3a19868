package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"scalechute/internal/measure"
)

// measureCommand compares a sentry with a bare relay. docs/sentry.md has the figures and says how they were taken.
func measureCommand() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure a sentry beside a bare relay on this machine"}
	plan := measure.Options{Workers: 32}
	// prepared gives a measurement the program to run and a directory of its own.
	prepared := func(measure func(io.Writer) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			plan.Program = program(self)
			if plan.Dir, err = os.MkdirTemp("", "measure-"); err != nil {
				return err
			}
			defer os.RemoveAll(plan.Dir)
			return measure(c.OutOrStdout())
		}
	}
	rounds := 3
	relay := &cobra.Command{
		Use: "relay", Short: "Throughput, allocations and added latency, beside the relay, turn about", Args: cobra.NoArgs,
		RunE: prepared(func(w io.Writer) error {
			plan.Connections, plan.InFlightPerConnection = 16, 4
			ratio, most := 0.0, 0.0
			for range rounds {
				plan.Rate = 0
				r, err := measure.RunRelay(plan)
				if err != nil {
					return err
				}
				s, err := measure.RunSentry(plan)
				if err != nil {
					return err
				}
				plan.CPUProfile = ""
				measure.PrintResults(w, r, s)
				ratio, most = ratio+s.PerSecond/r.PerSecond/float64(rounds), max(most, s.PerSecond)
			}
			fmt.Fprintf(w, "sentry to relay, as many as possible: %.2f\n", ratio)
			for range rounds {
				plan.Rate = most / 2
				r, err := measure.RunRelay(plan)
				if err != nil {
					return err
				}
				s, err := measure.RunSentry(plan)
				if err != nil {
					return err
				}
				measure.PrintResults(w, r, s)
				fmt.Fprintf(w, "added at half load: p50 %v, p99 %v\n", s.P50-r.P50, s.P99-r.P99)
			}
			return nil
		}),
	}
	relay.Flags().IntVar(&rounds, "rounds", 3, "how often each is measured")
	relay.Flags().StringVar(&plan.CPUProfile, "profile", "", "file for a processor profile of the first sentry")
	var many int
	routed := &cobra.Command{
		Use: "routes", Short: "What judging by routes costs a sentry, beside transactions that say what they are, turn about",
		Args: cobra.NoArgs,
		RunE: prepared(func(w io.Writer) error {
			plan.Connections, plan.InFlightPerConnection, plan.Rate = 16, 4, 0
			// beside is one measurement without routes and one with, the second in parts of the first.
			beside := func() (throughput, core, most float64, err error) {
				plan.RouteCount = 0
				plain, err := measure.RunSentry(plan)
				if err != nil {
					return 0, 0, 0, err
				}
				plan.RouteCount = many
				by, err := measure.RunSentry(plan)
				if err != nil {
					return 0, 0, 0, err
				}
				measure.PrintResults(w, plain, by)
				return by.PerSecond / plain.PerSecond, by.PerCPUSecond / plain.PerCPUSecond, plain.PerSecond, nil
			}
			series := func(what string) (most float64, err error) {
				var ratios, cores []float64
				for range rounds {
					throughput, core, each, err := beside()
					if err != nil {
						return 0, err
					}
					ratios, cores, most = append(ratios, throughput), append(cores, core), max(most, each)
				}
				slices.Sort(ratios)
				slices.Sort(cores)
				n := len(ratios)
				fmt.Fprintf(w, "%s, %d routes to none: throughput %.3f (%.3f to %.3f), for a second of one core %.3f (%.3f to %.3f); median and range\n",
					what, many, ratios[n/2], ratios[0], ratios[n-1], cores[n/2], cores[0], cores[n-1])
				return most, nil
			}
			most, err := series("as many as possible")
			if err != nil {
				return err
			}
			plan.Rate = most / 2 // what frames cost then does not depend on how many are written at once
			_, err = series("half of that")
			return err
		}),
	}
	routed.Flags().IntVar(&rounds, "rounds", 5, "how often each is measured")
	routed.Flags().IntVar(&many, "routes", 100, "routes")
	routed.Flags().StringVar(&plan.CPUProfile, "profile", "", "file for a processor profile of the last sentry")
	crowd := &cobra.Command{
		Use: "crowd", Short: "One sentry with many client connections", Args: cobra.NoArgs,
		RunE: prepared(func(w io.Writer) error {
			s, err := measure.RunSentry(plan)
			if err != nil {
				return err
			}
			measure.PrintResults(w, s)
			return nil
		}),
	}
	crowd.Flags().IntVar(&plan.Connections, "clients", 10_000, "client connections")
	crowd.Flags().Float64Var(&plan.Rate, "rate", 2_000, "transactions a second")
	c.PersistentFlags().DurationVar(&plan.Duration, "for", 4*time.Second, "length of each measurement")
	c.PersistentFlags().IntVar(&plan.MaxProcs, "procs", 2, "GOMAXPROCS of what is measured")
	var listen, metrics string
	var workers []string
	bare := &cobra.Command{
		Use: "bare", Short: "The bare relay itself", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return measure.ServeRelay(listen, metrics, workers) },
	}
	bare.Flags().StringVar(&listen, "listen", "", "address")
	bare.Flags().StringVar(&metrics, "metrics", "", "address")
	bare.Flags().StringArrayVar(&workers, "worker", nil, "address of a worker")
	var svg string
	matching := &cobra.Command{
		Use: "match", Short: "Finding a transaction's route, beside trying each and beside cel-go's evaluation", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var all []*measure.MatchResult
			for _, n := range []int{1, 3, 10, 30, 100, 300, 1000, 3000, 10_000} {
				r, err := measure.RunMatch(n)
				if err != nil {
					return err
				}
				all = append(all, r)
			}
			measure.PrintMatchResults(c.OutOrStdout(), all)
			if svg == "" {
				return nil
			}
			return measure.PlotMatchResults(svg, all)
		},
	}
	matching.Flags().StringVar(&svg, "svg", "", "file for a plot of cost over number of routes")
	c.AddCommand(relay, crowd, routed, matching, bare)
	return c
}
