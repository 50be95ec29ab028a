package policy

import (
	"errors"
	"fmt"
	"strconv"

	"camphorroad/command/factory"
	"camphorroad/io/crpolicyfile"
)

// ErrInvalid is returned after the problems of the policy files have been printed.
var ErrInvalid = errors.New("the policy files are invalid; correct the problems listed and check again")

// CheckOptions are the options of `policy check`.
type CheckOptions struct {
	Files []string `arg:"" name:"file" help:"Policy files of all services and accounts."`
	JSON  bool     `help:"Write the result as JSON."`
}

// NewCheck returns the options for policy files.
func NewCheck(files ...string) *CheckOptions { return &CheckOptions{Files: files} }

// Help is shown with the command's flags.
func (*CheckOptions) Help() string {
	return `Checks the files by the rules of "policy build" and of every daemon, and prints all
problems at once.

EXAMPLES
  $ camphorroad policy check booking/policy.toml accounts.toml
  $ camphorroad policy check --json */policy.toml`
}

type checkResult struct {
	Services int                   `json:"services"`
	Accounts int                   `json:"accounts"`
	Problems crpolicyfile.Problems `json:"problems"`
}

// Run checks the files. Problems are printed to ErrOut, or in the JSON result.
func (o *CheckOptions) Run(f *factory.Factory) error {
	files, err := readFiles(o.Files)
	if err != nil {
		return err
	}
	p, err := crpolicyfile.Read(files)
	var problems crpolicyfile.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if o.JSON {
		result := checkResult{Services: len(p.Services), Accounts: len(p.Accounts), Problems: problems}
		if err := f.JSON(result); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return reportProblems(f, problems, o.JSON)
	}
	if o.JSON {
		return nil
	}
	return f.Table([]string{"KIND", "COUNT"}, [][]string{
		{"services", strconv.Itoa(len(p.Services))},
		{"accounts", strconv.Itoa(len(p.Accounts))},
	})
}

// reportProblems prints the problems to ErrOut, unless they are already in the result,
// and returns ErrInvalid.
func reportProblems(f *factory.Factory, problems crpolicyfile.Problems, inResult bool) error {
	if !inResult {
		fmt.Fprintln(f.ErrOut, problems.Error())
	}
	return ErrInvalid
}
