package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"arrowcleat/internal/lang"
	"arrowcleat/internal/settings"
)

// readSettings reads settings in protobuf text format, recognized by the file extension, or in the settings language.
// The settings are nil if a diagnostic is an error.
func readSettings(path string) (*settings.Settings, []*lang.Diagnostic) {
	if !strings.HasSuffix(path, ".txtpb") && !strings.HasSuffix(path, ".textproto") {
		return lang.Load(path, os.ReadFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return lang.Load(path, os.ReadFile) // returns the diagnostic of the read error
	}
	cfg, err := settings.Parse(path, text)
	if err == nil {
		return cfg, nil
	}
	all := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		all = joined.Unwrap()
	}
	var found []*lang.Diagnostic
	for _, e := range all {
		var p settings.Problem
		if errors.As(e, &p) {
			found = append(found, &lang.Diagnostic{File: path, Line: p.Line, Column: 1, Code: p.Code,
				Message: strings.TrimPrefix(p.Path+": "+p.Message, ": ")})
		}
	}
	return nil, found
}

// joinErrors joins the diagnostics that are errors.
func joinErrors(found []*lang.Diagnostic) error {
	var all []error
	for _, d := range found {
		if !d.Warning {
			all = append(all, d)
		}
	}
	return errors.Join(all...)
}

// atLeastOneFile requires at least one argument.
func atLeastOneFile(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return badInput{fmt.Errorf("%s takes at least one file", c.CommandPath())}
	}
	return nil
}

// checkCommand returns the command that checks settings files.
func checkCommand() *cobra.Command {
	var asJSON bool
	var config string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files without starting anything",
		Long: `check prints all problems of settings files and of the files that they include: file, line, column, a stable code
and the likely fix. Exit code 0: no problems, or warnings only; 2: errors.`,
		RunE: func(c *cobra.Command, args []string) error {
			if config != "" {
				args = append(args, config)
			}
			if err := atLeastOneFile(c, args); err != nil {
				return err
			}
			failed := false
			for _, path := range args {
				cfg, found := readSettings(path)
				failed = failed || cfg == nil
				if asJSON {
					if found == nil {
						found = []*lang.Diagnostic{}
					}
					b, err := json.Marshal(found)
					if err != nil {
						return err
					}
					fmt.Fprintln(c.OutOrStdout(), string(b))
					continue
				}
				for _, d := range found {
					fmt.Fprintln(c.OutOrStdout(), d)
				}
			}
			if failed {
				return badInput{errors.New("the settings are invalid")}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON array for each file")
	c.Flags().StringVar(&config, "config", "", "another file to check, as serve would read it")
	return c
}

// fmtCommand returns the command that formats files in the settings language.
func fmtCommand() *cobra.Command {
	var list, write bool
	c := &cobra.Command{
		Use:   "fmt FILE...",
		Short: "Format files in the settings language without changing their meaning",
		Args:  atLeastOneFile,
		RunE: func(c *cobra.Command, args []string) error {
			differs := false
			for _, path := range args {
				text, err := os.ReadFile(path)
				if err != nil {
					return badInput{err}
				}
				out, diagnostic := lang.Format(path, text)
				if diagnostic != nil {
					return badInput{diagnostic}
				}
				same := bytes.Equal(text, out)
				differs = differs || !same
				switch {
				case list && !same:
					fmt.Fprintln(c.OutOrStdout(), path)
				case write && !same:
					if err := os.WriteFile(path, out, 0o644); err != nil {
						return err
					}
				case !list && !write:
					c.OutOrStdout().Write(out)
				}
			}
			if list && differs {
				return errors.New("not formatted")
			}
			return nil
		},
	}
	c.Flags().BoolVarP(&list, "list", "l", false, "only list the files that would change; exit code 1 if there are any")
	c.Flags().BoolVarP(&write, "write", "w", false, "write the result to the files instead of printing it")
	return c
}

// diffCommand returns the command that compares two versions of settings.
func diffCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Compare two versions of settings by meaning",
		Long: `diff compares the meaning of two files: comments, the order of settings, the split into files and the format do not
matter. Changes that affect a rule are marked. Exit code 0: no differences; 1: differences; 2: a file is invalid.`,
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 2 {
				return badInput{fmt.Errorf("diff takes two files, not %d", len(args))}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			var versions [2]*settings.Settings
			for i, path := range args {
				cfg, found := readSettings(path)
				if cfg == nil {
					return badInput{joinErrors(found)}
				}
				versions[i] = cfg
			}
			changes := lang.Diff(versions[0], versions[1])
			if asJSON {
				if changes == nil {
					changes = []lang.Change{}
				}
				b, err := json.Marshal(changes)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), string(b))
			} else {
				for _, change := range changes {
					fmt.Fprintln(c.OutOrStdout(), change)
				}
			}
			if len(changes) > 0 {
				return fmt.Errorf("%d differences", len(changes))
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON array")
	return c
}

// compileCommand returns the command that converts settings to protobuf text format.
func compileCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compile FILE",
		Short: "Convert settings to protobuf text format",
		Args:  oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(cfg.Text())
			return err
		},
	}
}

// decompileCommand returns the command that converts settings to the settings language.
func decompileCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "decompile FILE",
		Short: "Convert settings to the settings language",
		Args:  oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(lang.Decompile(cfg))
			return err
		},
	}
}

// explainCommand returns the command that explains a diagnostic code.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain CODE",
		Short: "Explain a code that check prints",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 1 {
				return badInput{errors.New("explain takes one code, such as AC207")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			text, err := lang.Explain(args[0])
			if err != nil {
				return badInput{err}
			}
			fmt.Fprintln(c.OutOrStdout(), text)
			return nil
		},
	}
}

// syntaxCommand returns the command that writes a syntax file of the settings language.
func syntaxCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "syntax vim",
		Short:     "Write a syntax file of the settings language for an editor",
		ValidArgs: []string{"vim"},
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 1 || args[0] != "vim" {
				return badInput{errors.New("syntax supports one editor: vim")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), lang.VimSyntax())
			return err
		},
	}
}
