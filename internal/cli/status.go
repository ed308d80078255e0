package cli

import (
	"fmt"
	"io"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/optional"
)

func printStatus(out io.Writer, s *api.Status) error {
	fmt.Fprintf(out, "instance %s in %s, revision %d, serving %t, draining %t, %d active requests, configuration confirmed %s\n\n",
		s.Instance, s.Zone, s.Revision, s.Serving, s.Draining, s.ActiveRequests, ageText(s.EvidenceAgeMs))
	w := newTabWriter(out)
	fmt.Fprintln(w, "INSTANCE\tZONE\tREVISION\tLEAVING\tCONTACT")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s\n", i.ID, i.Zone, i.Revision, optional.Value(i.Leaving), contactText(i.ContactAgeMs))
	}
	fmt.Fprintln(w)
	targetTable.writeTo(w, s.Targets)
	fmt.Fprintln(w)
	usageTable.writeTo(w, s.Teams)
	fmt.Fprintln(w, "\nLEASE\tTERM\tHELD HERE\tHOLDER")
	for _, l := range s.Leases {
		holder := ""
		if l.Holder != nil {
			holder = *l.Holder
		}
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\n", l.Name, l.Term, l.Held, holder)
	}
	return w.Flush()
}

func ageText(ms int) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

func contactText(ms *int) string {
	if ms == nil {
		return "-"
	}
	return ageText(*ms)
}
