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

// drillCommand returns the command that runs a drill and audits it.
func drillCommand() *cobra.Command {
	var outDir, faultName, dayFile string
	var noBaseline bool
	c := &cobra.Command{
		Use:   "drill FILE [--out DIR] [--break RULE] [--from-day DAY]",
		Short: "Run a scripted drill with faults on loopback and audit the five rules; exit 0 only if the drill passes",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := sentry.ParseFault(faultName); err != nil {
				return err
			}
			scenario, err := drill.Load(args[0])
			if err != nil {
				return err
			}
			if dayFile != "" {
				data, err := os.ReadFile(dayFile)
				if err != nil {
					return err
				}
				if err := scenario.ApplyBenchDay(data); err != nil {
					return fmt.Errorf("%s: %w", dayFile, err)
				}
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			if outDir == "" {
				if outDir, err = os.MkdirTemp("", "drill-"); err != nil {
					return err
				}
				defer os.RemoveAll(outDir)
			}
			options := drill.Options{Program: selfCommand(executable), Dir: filepath.Join(outDir, "module"), InjectedFault: faultName,
				Logf: func(format string, a ...any) { fmt.Fprintf(c.OutOrStdout(), format+"\n", a...) }}
			result, err := drill.Run(scenario, options)
			if err != nil {
				return err
			}
			results := []*drill.Result{result}
			if scenario.RunBaseline && !noBaseline && faultName == "" {
				options.RandomWorkers, options.Dir = true, filepath.Join(outDir, "random")
				options.Logf("the same drill with workers chosen at random:")
				baseline, err := drill.Run(scenario, options)
				if err != nil {
					return err
				}
				results = append(results, baseline)
			}
			drill.Print(c.OutOrStdout(), results...)
			if !result.Passed() {
				return errors.New("the drill did not pass: a rule is violated, a try is not closed, or a hand-off has another profile or key than intended")
			}
			return nil
		},
	}
	c.Flags().StringVar(&outDir, "out", "", "directory for reports and the sentries' settings and logs; if empty, a temporary one that is removed")
	c.Flags().StringVar(&faultName, "break", "", "inject a fault into the first sentry that breaks a rule: answer, effect, drain, cold or exposure")
	c.Flags().StringVar(&dayFile, "from-day", "", "take the faults and releases of a day file of the benchmark, scaled to this drill")
	c.Flags().BoolVar(&noBaseline, "no-baseline", false, "skip the baseline run even if the file requests it")
	return c
}

// selfCommand returns the command line that runs this program again. Tests may replace it.
var selfCommand = func(executable string) []string { return []string{executable} }
