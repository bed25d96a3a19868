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

// matchCommand is what an operator tries routes with. docs/routes.md tells how.
func matchCommand() *cobra.Command {
	c := &cobra.Command{Use: "match", Short: "Check, try, explain and test the routes of a sentry's file"}
	load := func(name string) (*routes.RouteSet, error) {
		return routes.Load(name, append(append([]string{"sentry"}, orders.SharedBlocks...), drill.Blocks...)...)
	}
	check := &cobra.Command{
		Use: "check FILE...", Short: "Check routes; each fault is a line with file, line, column, what was found and what fits",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			bad := 0
			for _, name := range files {
				b, err := load(name)
				if err != nil {
					bad++
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				for _, n := range b.Warnings {
					fmt.Fprintln(c.OutOrStdout(), n)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good; %d attributes, %d named expressions, %d routes, %d cases\n", name,
					len(b.Schema.Attributes), len(b.Definitions), len(b.Table.Routes), len(b.Cases))
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files have faults", bad, len(files))
			}
			return nil
		},
	}
	var with []string
	var all bool
	few := func(n int) int {
		if all {
			return -1
		}
		return n
	}
	eval := &cobra.Command{
		Use: "eval FILE --with NAME=VALUE...", Short: "Say which route takes a transaction, and why earlier ones do not",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := load(args[0])
			if err != nil {
				return err
			}
			var pairs []hclread.Pair
			for _, w := range with {
				name, value, ok := strings.Cut(w, "=")
				if !ok {
					return fmt.Errorf("with: found %q, expected name=value", w)
				}
				pairs = append(pairs, hclread.Pair{Name: name, Values: []string{value}})
			}
			r, misfits := b.ParseRecord(pairs)
			for _, m := range misfits {
				fmt.Fprintf(c.OutOrStdout(), "left missing: %v\n", m.Err)
			}
			b.WriteMatch(c.OutOrStdout(), r, few(20))
			return nil
		},
	}
	eval.Flags().StringArrayVar(&with, "with", nil, "an attribute, as temp='8 celsius'; elements of a list with commas between")
	eval.Flags().BoolVar(&all, "all", false, "tell of all earlier routes")
	explain := &cobra.Command{
		Use: "explain FILE", Short: "Say what routes cost at the most and how the index finds them", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := load(args[0])
			if err != nil {
				return err
			}
			b.WriteExplanation(c.OutOrStdout(), few(20))
			return nil
		},
	}
	explain.Flags().BoolVar(&all, "all", false, "list all routes")
	test := &cobra.Command{
		Use: "test FILE...", Short: "Try the cases that are kept in the files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			cases, bad := 0, 0
			for _, name := range files {
				b, err := load(name)
				if err != nil {
					return err
				}
				if len(b.Cases) == 0 {
					return fmt.Errorf("%s: found no case, expected one at least", name)
				}
				failed := b.RunCases()
				for _, f := range failed {
					fmt.Fprintln(c.OutOrStdout(), f)
				}
				cases, bad = cases+len(b.Cases), bad+len(failed)
			}
			if bad > 0 {
				return fmt.Errorf("%d faults in %d cases", bad, cases)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d cases hold\n", cases)
			return nil
		},
	}
	c.AddCommand(check, eval, explain, test)
	return c
}
