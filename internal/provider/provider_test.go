package provider

import (
	"context"
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/target"
)

type fakeList struct {
	instances []api.Instance
	err       error
}

func (f *fakeList) List(context.Context) ([]api.Instance, error) { return f.instances, f.err }

// Guards against removing targets when the instance list cannot be read, and against keeping targets that a list that
// was read no longer contains.
func TestFailedReadKeepsTargets(t *testing.T) {
	service, class := "chat", api.ClassReclaimable
	engine := api.Instance{ID: "e1", Role: api.RoleTarget, Zone: "a", Address: "http://127.0.0.1:1", Service: &service, Class: &class, State: api.StateLive}
	leaving := engine
	leaving.State = api.StateLeaving
	list := &fakeList{}
	var got []target.Target
	p := New(list, Sink{
		OnTargets:      func(targets []target.Target) { got = targets },
		OnInstanceList: func([]api.Instance) {},
	}, zerolog.Nop())
	p.ApplyConfig(&config.Document{
		Pools:   []config.Pool{{Service: "chat", Zone: "a", Class: config.ClassReclaimable, Slots: 4}},
		Targets: []config.Target{{ID: "fixed", Service: "chat", Zone: "b"}},
	})
	for _, c := range []struct {
		name      string
		list      fakeList
		want      int
		isLeaving bool
	}{
		{"live", fakeList{instances: []api.Instance{engine}}, 2, false},
		{"failed read", fakeList{err: errors.New("down")}, 2, false},
		{"leaving", fakeList{instances: []api.Instance{leaving}}, 2, true},
		{"failed read while leaving", fakeList{err: errors.New("down")}, 2, true},
		{"no pool", fakeList{instances: []api.Instance{{ID: "e2", Role: api.RoleTarget, Zone: "z", Service: &service, Class: &class}}}, 1, false},
		{"empty", fakeList{}, 1, false},
	} {
		*list = c.list
		p.refresh(t.Context())
		if len(got) != c.want || got[0].Draining != c.isLeaving && c.want == 2 {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
