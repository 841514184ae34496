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

// readSettings reads settings in the language, or in protobuf text format by its ending.
func readSettings(path string) (*settings.Settings, []*lang.Diagnostic) {
	if !strings.HasSuffix(path, ".txtpb") && !strings.HasSuffix(path, ".textproto") {
		return lang.Load(path, os.ReadFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return lang.Load(path, os.ReadFile) // says why
	}
	set, err := settings.Parse(path, text)
	if err == nil {
		return set, nil
	}
	all := []error{err}
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		all = many.Unwrap()
	}
	var found []*lang.Diagnostic
	for _, e := range all {
		var p settings.Problem
		if errors.As(e, &p) {
			found = append(found, &lang.Diagnostic{File: path, Line: p.Line, Column: 1, Code: p.Code, What: strings.TrimPrefix(p.Path+": "+p.Message, ": ")})
		}
	}
	return nil, found
}

func joinErrors(found []*lang.Diagnostic) error {
	var all []error
	for _, d := range found {
		if !d.Warning {
			all = append(all, d)
		}
	}
	return errors.Join(all...)
}

func atLeastOneFile(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return badInput{fmt.Errorf("%s takes one file or more", c.CommandPath())}
	}
	return nil
}

func checkCommand() *cobra.Command {
	var asJSON bool
	var config string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check files of settings and start nothing",
		Long: `check says all that is wrong with files of settings and what they include: file, line, column, a stable code and the
likely fix. Exit code 0: nothing, or warnings; 2: something.`,
		RunE: func(c *cobra.Command, args []string) error {
			if config != "" {
				args = append(args, config)
			}
			if err := atLeastOneFile(c, args); err != nil {
				return err
			}
			wrong := false
			for _, path := range args {
				set, found := readSettings(path)
				wrong = wrong || set == nil
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
			if wrong {
				return badInput{errors.New("the settings can't be used")}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON list for each file")
	c.Flags().StringVar(&config, "config", "", "a file, as serve takes it")
	return c
}

func fmtCommand() *cobra.Command {
	var list, write bool
	c := &cobra.Command{
		Use:   "fmt FILE...",
		Short: "Format files in the language; what they mean is untouched",
		Args:  atLeastOneFile,
		RunE: func(c *cobra.Command, args []string) error {
			differs := false
			for _, path := range args {
				text, err := os.ReadFile(path)
				if err != nil {
					return badInput{err}
				}
				out, bad := lang.Format(path, text)
				if bad != nil {
					return badInput{bad}
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
	c.Flags().BoolVarP(&list, "list", "l", false, "only name the files that would change; exit code 1 if there are any")
	c.Flags().BoolVarP(&write, "write", "w", false, "write the files in place of printing them")
	return c
}

func diffCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Tell what differs between two versions of settings, by meaning",
		Long: `diff compares what two files mean: comments, order of settings, files and forms do not matter. What touches a rule is
marked. Exit code 0: nothing differs; 1: something does; 2: a file is wrong.`,
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 2 {
				return badInput{fmt.Errorf("diff takes two files, not %d", len(args))}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			var both [2]*settings.Settings
			for i, path := range args {
				set, found := readSettings(path)
				if set == nil {
					return badInput{joinErrors(found)}
				}
				both[i] = set
			}
			changes := lang.Diff(both[0], both[1])
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
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON list")
	return c
}

func compileCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compile FILE",
		Short: "Write settings as protobuf text format",
		Args:  oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			set, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(set.Text())
			return err
		},
	}
}

func decompileCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "decompile FILE",
		Short: "Write settings in the language",
		Args:  oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			set, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(lang.Decompile(set))
			return err
		},
	}
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain CODE",
		Short: "Say more of a code that check prints",
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

func syntaxCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "syntax vim",
		Short:     "Write a syntax file for an editor",
		ValidArgs: []string{"vim"},
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 1 || args[0] != "vim" {
				return badInput{errors.New("syntax knows one editor: vim")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), lang.Vim())
			return err
		},
	}
}
