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

// measureCommand returns the commands that compare a sentry with a bare relay. docs/sentry.md has the results and
// describes how they were measured.
func measureCommand() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure a sentry against a bare relay on this machine"}
	options := measure.Options{Workers: 32}
	// withEnvironment runs a measurement with the program's command line and a temporary directory.
	withEnvironment := func(run func(io.Writer) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, _ []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			options.Program = selfCommand(executable)
			if options.Dir, err = os.MkdirTemp("", "measure-"); err != nil {
				return err
			}
			defer os.RemoveAll(options.Dir)
			return run(c.OutOrStdout())
		}
	}
	rounds := 3
	relay := &cobra.Command{
		Use: "relay", Short: "Throughput, allocations and added latency against the relay, measured in alternation", Args: cobra.NoArgs,
		RunE: withEnvironment(func(w io.Writer) error {
			options.Connections, options.InFlightPerConnection = 16, 4
			ratio, maxThroughput := 0.0, 0.0
			for range rounds {
				options.Rate = 0
				relayResult, err := measure.RunRelay(options)
				if err != nil {
					return err
				}
				sentryResult, err := measure.RunSentry(options)
				if err != nil {
					return err
				}
				options.CPUProfile = ""
				measure.PrintResults(w, relayResult, sentryResult)
				ratio, maxThroughput = ratio+sentryResult.PerSecond/relayResult.PerSecond/float64(rounds),
					max(maxThroughput, sentryResult.PerSecond)
			}
			fmt.Fprintf(w, "throughput of the sentry relative to the relay at full load: %.2f\n", ratio)
			for range rounds {
				options.Rate = maxThroughput / 2
				relayResult, err := measure.RunRelay(options)
				if err != nil {
					return err
				}
				sentryResult, err := measure.RunSentry(options)
				if err != nil {
					return err
				}
				measure.PrintResults(w, relayResult, sentryResult)
				fmt.Fprintf(w, "added latency at half load: p50 %v, p99 %v\n", sentryResult.P50-relayResult.P50, sentryResult.P99-relayResult.P99)
			}
			return nil
		}),
	}
	relay.Flags().IntVar(&rounds, "rounds", 3, "number of measurements of each")
	relay.Flags().StringVar(&options.CPUProfile, "profile", "", "file for a CPU profile of the first sentry")
	var routeCount int
	routes := &cobra.Command{
		Use: "routes", Short: "Cost of matching transactions to routes against transactions that state their profile, measured in alternation",
		Args: cobra.NoArgs,
		RunE: withEnvironment(func(w io.Writer) error {
			options.Connections, options.InFlightPerConnection, options.Rate = 16, 4, 0
			// comparePair measures once without routes and once with them. It returns the throughput and the throughput per CPU
			// second with routes relative to those without, and the throughput without routes.
			comparePair := func() (throughputRatio, perCPURatio, unroutedThroughput float64, err error) {
				options.RouteCount = 0
				unrouted, err := measure.RunSentry(options)
				if err != nil {
					return 0, 0, 0, err
				}
				options.RouteCount = routeCount
				routed, err := measure.RunSentry(options)
				if err != nil {
					return 0, 0, 0, err
				}
				measure.PrintResults(w, unrouted, routed)
				return routed.PerSecond / unrouted.PerSecond, routed.PerCPUSecond / unrouted.PerCPUSecond, unrouted.PerSecond, nil
			}
			// compareSeries prints the medians and ranges of several pairs. It returns the highest throughput without routes.
			compareSeries := func(load string) (maxThroughput float64, err error) {
				var throughputRatios, perCPURatios []float64
				for range rounds {
					throughputRatio, perCPURatio, unroutedThroughput, err := comparePair()
					if err != nil {
						return 0, err
					}
					throughputRatios, perCPURatios, maxThroughput = append(throughputRatios, throughputRatio),
						append(perCPURatios, perCPURatio), max(maxThroughput, unroutedThroughput)
				}
				slices.Sort(throughputRatios)
				slices.Sort(perCPURatios)
				n := len(throughputRatios)
				fmt.Fprintf(w, "%s, %d routes relative to none: throughput %.3f (%.3f to %.3f), per CPU second %.3f (%.3f to %.3f); median and range\n",
					load, routeCount, throughputRatios[n/2], throughputRatios[0], throughputRatios[n-1],
					perCPURatios[n/2], perCPURatios[0], perCPURatios[n-1])
				return maxThroughput, nil
			}
			maxThroughput, err := compareSeries("full load")
			if err != nil {
				return err
			}
			options.Rate = maxThroughput / 2 // at a fixed rate, the cost of a frame does not depend on how many are written together
			_, err = compareSeries("half load")
			return err
		}),
	}
	routes.Flags().IntVar(&rounds, "rounds", 5, "number of measurements of each")
	routes.Flags().IntVar(&routeCount, "routes", 100, "number of routes")
	routes.Flags().StringVar(&options.CPUProfile, "profile", "", "file for a CPU profile of the last sentry")
	crowd := &cobra.Command{
		Use: "crowd", Short: "One sentry with many client connections", Args: cobra.NoArgs,
		RunE: withEnvironment(func(w io.Writer) error {
			sentryResult, err := measure.RunSentry(options)
			if err != nil {
				return err
			}
			measure.PrintResults(w, sentryResult)
			return nil
		}),
	}
	crowd.Flags().IntVar(&options.Connections, "clients", 10_000, "client connections")
	crowd.Flags().Float64Var(&options.Rate, "rate", 2_000, "transactions per second")
	c.PersistentFlags().DurationVar(&options.Duration, "for", 4*time.Second, "length of each measurement")
	c.PersistentFlags().IntVar(&options.MaxProcs, "procs", 2, "GOMAXPROCS of the measured process")
	var listen, metrics string
	var workers []string
	bare := &cobra.Command{
		Use: "bare", Short: "Run the bare relay", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return measure.ServeRelay(listen, metrics, workers) },
	}
	bare.Flags().StringVar(&listen, "listen", "", "address for clients")
	bare.Flags().StringVar(&metrics, "metrics", "", "address of the metrics page")
	bare.Flags().StringArrayVar(&workers, "worker", nil, "address of a worker")
	var plotFile string
	match := &cobra.Command{
		Use: "match", Short: "Time to find a transaction's route by the index, by linear search and by linear search with cel-go", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var results []*measure.MatchResult
			for _, n := range []int{1, 3, 10, 30, 100, 300, 1000, 3000, 10_000} {
				result, err := measure.RunMatch(n)
				if err != nil {
					return err
				}
				results = append(results, result)
			}
			measure.PrintMatchResults(c.OutOrStdout(), results)
			if plotFile == "" {
				return nil
			}
			return measure.PlotMatchResults(plotFile, results)
		},
	}
	match.Flags().StringVar(&plotFile, "svg", "", "file for a plot of the cost over the number of routes")
	c.AddCommand(relay, crowd, routes, match, bare)
	return c
}
