package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"scalechute/internal/drill"
	"scalechute/internal/hclread"
	"scalechute/internal/orders"
	"scalechute/internal/routes"
)

// matchCommand returns the commands with which an operator tries routes. docs/routes.md describes them.
func matchCommand() *cobra.Command {
	c := &cobra.Command{Use: "match", Short: "Check, evaluate, explain and test the routes of a settings file"}
	load := func(name string) (*routes.RouteSet, error) {
		return routes.Load(name, append(append([]string{"sentry"}, orders.SharedBlocks...), drill.Blocks...)...)
	}
	check := &cobra.Command{
		Use: "check FILE...", Short: "Check routes; each error is one line with the file, line, column, what was found and what was expected",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			invalidFiles := 0
			for _, name := range files {
				routeSet, err := load(name)
				if err != nil {
					invalidFiles++
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				for _, warning := range routeSet.Warnings {
					fmt.Fprintln(c.OutOrStdout(), warning)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good; %d attributes, %d named expressions, %d routes, %d cases\n", name,
					len(routeSet.Schema.Attributes), len(routeSet.Definitions), len(routeSet.Table.Routes), len(routeSet.Cases))
			}
			if invalidFiles > 0 {
				return fmt.Errorf("%d of %d files have errors", invalidFiles, len(files))
			}
			return nil
		},
	}
	var assignments []string
	var all bool
	limitUnlessAll := func(limit int) int {
		if all {
			return -1
		}
		return limit
	}
	eval := &cobra.Command{
		Use: "eval FILE --with NAME=VALUE...", Short: "Print the route that a transaction matches, and why it does not match earlier ones",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			routeSet, err := load(args[0])
			if err != nil {
				return err
			}
			var pairs []hclread.Pair
			for _, assignment := range assignments {
				name, value, ok := strings.Cut(assignment, "=")
				if !ok {
					return fmt.Errorf("with: found %q, expected name=value", assignment)
				}
				pairs = append(pairs, hclread.Pair{Name: name, Values: []string{value}})
			}
			record, mismatches := routeSet.ParseRecord(pairs)
			for _, mismatch := range mismatches {
				fmt.Fprintf(c.OutOrStdout(), "treated as missing: %v\n", mismatch.Err)
			}
			routeSet.WriteMatch(c.OutOrStdout(), record, limitUnlessAll(20))
			return nil
		},
	}
	eval.Flags().StringArrayVar(&assignments, "with", nil, "an attribute, such as temp='8 celsius'; the elements of a list are separated by commas")
	eval.Flags().BoolVar(&all, "all", false, "print all earlier routes")
	explain := &cobra.Command{
		Use: "explain FILE", Short: "Print the maximum cost of the routes and how the index finds them", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			routeSet, err := load(args[0])
			if err != nil {
				return err
			}
			routeSet.WriteExplanation(c.OutOrStdout(), limitUnlessAll(20))
			return nil
		},
	}
	explain.Flags().BoolVar(&all, "all", false, "list all routes")
	test := &cobra.Command{
		Use: "test FILE...", Short: "Run the test cases in the files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			cases, failures := 0, 0
			for _, name := range files {
				routeSet, err := load(name)
				if err != nil {
					return err
				}
				if len(routeSet.Cases) == 0 {
					return fmt.Errorf("%s: found no case, expected at least one", name)
				}
				failed := routeSet.RunCases()
				for _, f := range failed {
					fmt.Fprintln(c.OutOrStdout(), f)
				}
				cases, failures = cases+len(routeSet.Cases), failures+len(failed)
			}
			if failures > 0 {
				return fmt.Errorf("%d failures in %d cases", failures, cases)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d cases passed\n", cases)
			return nil
		},
	}
	c.AddCommand(check, eval, explain, test)
	return c
}
