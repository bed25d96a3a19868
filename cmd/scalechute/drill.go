package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"scalechute/internal/drill"
	"scalechute/internal/sentry"
)

func drillCommand() *cobra.Command {
	var out, breach, fromDay string
	var noBaseline bool
	c := &cobra.Command{
		Use:   "drill FILE [--out DIR] [--break RULE] [--from-day DAY]",
		Short: "Play a scripted day of troubles on loopback and audit the five rules; exit 0 only if they hold",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := sentry.ParseBreach(breach); err != nil {
				return err
			}
			day, err := drill.Load(args[0])
			if err != nil {
				return err
			}
			if fromDay != "" {
				data, err := os.ReadFile(fromDay)
				if err != nil {
					return err
				}
				if err := day.ApplyBenchDay(data); err != nil {
					return fmt.Errorf("%s: %w", fromDay, err)
				}
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if out == "" {
				if out, err = os.MkdirTemp("", "drill-"); err != nil {
					return err
				}
				defer os.RemoveAll(out)
			}
			plan := drill.Options{Program: program(self), Dir: filepath.Join(out, "module"), BrokenRule: breach,
				Logf: func(format string, a ...any) { fmt.Fprintf(c.OutOrStdout(), format+"\n", a...) }}
			result, err := drill.Run(day, plan)
			if err != nil {
				return err
			}
			results := []*drill.Result{result}
			if day.RunBaseline && !noBaseline && breach == "" {
				plan.RandomWorkers, plan.Dir = true, filepath.Join(out, "random")
				plan.Logf("the same day with workers chosen at random:")
				random, err := drill.Run(day, plan)
				if err != nil {
					return err
				}
				results = append(results, random)
			}
			drill.Print(c.OutOrStdout(), results...)
			if !result.Passed() {
				return errors.New("the rules do not hold")
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "directory for reports, the sentries' orders and logs")
	c.Flags().StringVar(&breach, "break", "", "have the first sentry break a rule: answer, effect, drain, cold or exposure")
	c.Flags().StringVar(&fromDay, "from-day", "", "take the troubles of a day file of the bench, at this drill's size")
	c.Flags().BoolVar(&noBaseline, "no-baseline", false, "leave out the baseline, whatever the file says")
	return c
}

// program is what runs this program again; a test puts itself there.
var program = func(self string) []string { return []string{self} }
