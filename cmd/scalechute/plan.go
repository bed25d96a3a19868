package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"scalechute/internal/release"
)

// planCommand returns the commands with which a release's owner checks a plan.
func planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Check release plans"}
	var from string
	check := &cobra.Command{
		Use: "check FILE [--from TIME]", Short: "Check a plan and print the earliest start of each wave", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			if from != "" {
				var err error
				if now, err = time.Parse(time.RFC3339, from); err != nil {
					return fmt.Errorf("from: found %q, expected a time such as 2026-12-01T12:00:00Z", from)
				}
			}
			plan, err := release.Load(args[0], now)
			if err != nil {
				return err
			}
			starts, complete := plan.EarliestSchedule(now)
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			for i, start := range starts {
				fmt.Fprintf(table, "%s\twave %s\tshare %g\tcap %g\tbake %v\t%s\n", start.Format(time.RFC3339), plan.Waves[i].Name, plan.Waves[i].Share,
					plan.Waves[i].Cap, plan.Waves[i].Bake, plan.WaveSummary(i))
			}
			fmt.Fprintf(table, "%s\tcomplete, if votes and approvals arrive without delay\n", complete.Format(time.RFC3339))
			return table.Flush()
		},
	}
	check.Flags().StringVar(&from, "from", "", "start of the release, such as 2026-12-01T12:00:00Z; now if empty")
	c.AddCommand(check)
	return c
}
