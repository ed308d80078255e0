package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"math/bits"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/step"
)

// samplePrinter prints the samples of a step and records them in the cursor file.
type samplePrinter struct {
	cursorFile string
	spec       api.StepSpec
	cursor     *savedCursor
	out        *json.Encoder
	progress   *progress
}

func newSamplePrinter(cursorFile string, spec api.StepSpec, cursor *savedCursor, streams Streams) *samplePrinter {
	out := json.NewEncoder(streams.Out)
	out.SetEscapeHTML(false)
	p := &samplePrinter{cursorFile: cursorFile, spec: spec, cursor: cursor, out: out}
	p.progress = newProgress(streams.Err, step.Slots(spec), p.countRecorded())
	return p
}

// countRecorded counts the samples in the cursor. The cursor is valid, because loadCursor has checked it.
func (p *samplePrinter) countRecorded() int {
	have, _ := step.DecodeBitmap(p.cursor.Have, step.Slots(p.spec))
	n := 0
	for _, b := range have {
		n += bits.OnesCount8(b)
	}
	return n
}

// printSample prints a sample and then records it in the cursor file. In this order, a crash in between repeats the
// sample instead of losing it.
func (p *samplePrinter) printSample(sample api.Sample) error {
	if err := p.out.Encode(sample); err != nil {
		return errors.WithStack(err)
	}
	p.progress.increment()
	if p.cursorFile == "" {
		return nil
	}
	have, err := step.DecodeBitmap(p.cursor.Have, step.Slots(p.spec))
	if err != nil {
		return err
	}
	have.Add(sample.Group*p.spec.SamplesPerGroup + sample.Index)
	saved := *p.cursor
	saved.Have = have.Encode()
	return saved.save(p.cursorFile)
}

const (
	maxPercent   = 100
	barWidth     = 40
	lineInterval = 10 // percentage points between two progress lines
)

// progress shows how many samples of a step were received, as a bar on a terminal and as single lines elsewhere.
type progress struct {
	out         io.Writer
	onTerminal  bool
	total, done int
	lastPercent int // percentage in the latest output
}

func newProgress(out io.Writer, total, done int) *progress {
	return &progress{out: out, onTerminal: isTerminal(out), total: total, done: done, lastPercent: done * maxPercent / total}
}

func (p *progress) increment() {
	p.done++
	percentDone := p.done * maxPercent / p.total
	switch {
	case p.onTerminal && percentDone > p.lastPercent:
		p.lastPercent = percentDone
		p.drawBar(percentDone)
	case !p.onTerminal && percentDone/lineInterval > p.lastPercent/lineInterval:
		p.lastPercent = percentDone
		fmt.Fprintf(p.out, "%d of %d samples\n", p.done, p.total)
	}
}

func (p *progress) drawBar(percentDone int) {
	filled := percentDone * barWidth / maxPercent
	fmt.Fprintf(p.out, "\r[%s%s] %d of %d samples", strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), p.done, p.total)
	if p.done == p.total {
		fmt.Fprintln(p.out)
	}
}

// isTerminal reports whether w is a character device. That includes the null device, where a progress bar does no harm.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
