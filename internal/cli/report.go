package cli

import (
	"bytes"
	"os"

	"github.com/pkg/errors"

	benchreport "github.com/egretspar/egretspar/internal/report"
)

// pageMode allows all users to read the page.
const pageMode = 0o644

type reportCommand struct {
	Files []string `arg:"" name:"file" help:"Results of bench --output json; - is standard input."`
	Out   string   `required:"" placeholder:"PAGE" help:"HTML file to write."`
}

// Run writes the page. If an input file is invalid, an existing page stays unchanged.
func (c *reportCommand) Run(streams Streams) error {
	results, err := c.parseResults(streams)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := benchreport.Write(&page, results); err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(c.Out, page.Bytes(), pageMode))
}

func (c *reportCommand) parseResults(streams Streams) ([]*benchreport.Result, error) {
	var results []*benchreport.Result
	for _, file := range c.Files {
		data, err := readFile(file, streams)
		if err != nil {
			return nil, err
		}
		result, err := benchreport.Parse(file, data)
		if err != nil {
			return nil, withExitCode(ExitUsage, err)
		}
		results = append(results, result)
	}
	return results, nil
}
