package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"scalechute/internal/release"
)

// planCommand is what a release's owner tries a plan with.
func planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Check release plans"}
	var from string
	check := &cobra.Command{
		Use: "check FILE [--from TIME]", Short: "Check a plan, and say when each wave can begin at the earliest", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			if from != "" {
				var err error
				if now, err = time.Parse(time.RFC3339, from); err != nil {
					return fmt.Errorf("from: found %q, expected a time as 2026-12-01T12:00:00Z", from)
				}
			}
			p, err := release.Load(args[0], now)
			if err != nil {
				return err
			}
			begins, whole := p.EarliestSchedule(now)
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			for i, at := range begins {
				fmt.Fprintf(t, "%s\twave %s\tshare %g\tcap %g\tbake %v\t%s\n", at.Format(time.RFC3339), p.Waves[i].Name, p.Waves[i].Share,
					p.Waves[i].Cap, p.Waves[i].Bake, p.WaveSummary(i))
			}
			fmt.Fprintf(t, "%s\twhole, if votes and approvals come at once\n", whole.Format(time.RFC3339))
			return t.Flush()
		},
	}
	check.Flags().StringVar(&from, "from", "", "the moment to begin at, as 2026-12-01T12:00:00Z; now if none")
	c.AddCommand(check)
	return c
}
