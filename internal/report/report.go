// Package report writes bench results as one self-contained HTML page: it loads no other file and needs no network.
package report

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/bench"
)

// Result is a bench result with the name of the file that it was read from.
type Result struct {
	File string
	bench.Result
}

// Parse reads the JSON that egretspar bench writes. Unknown fields are ignored, so that results of other
// versions can be compared.
func Parse(file string, data []byte) (*Result, error) {
	r := Result{File: file}
	if err := json.Unmarshal(data, &r.Result); err != nil {
		return nil, describeDecodeError(file, err)
	}
	if err := r.validate(); err != nil {
		return nil, err
	}
	return &r, nil
}

func describeDecodeError(file string, err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return errors.Errorf("%s: not JSON: %s", file, err)
	}
	field := mismatch.Field
	if field == "" {
		field = "the document"
	}
	return errors.Errorf("%s: not a bench result: unexpected %s in %s", file, mismatch.Value, field)
}

func (r *Result) validate() error {
	if r.Experiment.Kind != bench.Kind {
		return errors.Errorf("%s: not a bench result: experiment.kind is %q; allowed: %q", r.File, r.Experiment.Kind, bench.Kind)
	}
	if len(r.Figures) == 0 {
		return errors.Errorf("%s: no figures", r.File)
	}
	for i, f := range r.Figures {
		if f.Name == "" {
			return errors.Errorf("%s: figures[%d] lacks a name", r.File, i)
		}
	}
	return nil
}
