package main

import "github.com/spf13/cobra"

func drillCommand() *cobra.Command { return &cobra.Command{Use: "drill", Hidden: true} }
