package peer

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against frames that crash the decoder, and against frames that are accepted but change when they are encoded
// again. More seeds are in testdata.
func FuzzDecode(f *testing.F) {
	state := State{Instance: "a", Revision: 7, EvidenceAgeMs: -1, Costs: []TeamCost{{Team: "t", Service: "s"}}}
	for _, e := range []envelope{
		{},
		{Frame: Frame{State: &state}, Sent: 5, Echo: 4},
		{Frame: Frame{Hello: &Hello{Instance: "a", Secret: "s"}}},
		{Frame: Frame{Call: &Call{ID: 1, Method: MethodPoll, Body: "{}"}}},
		{Heartbeat: &heartbeat{Revision: 7}, Relayed: []relayedState{{State: &state, AgeMs: 3, Costs: []int{0, 0, 1, 2, 3}}}, Names: []string{"t"}},
	} {
		data, err := encode(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decode(data)
		if err != nil {
			return
		}
		again, err := encode(e)
		if err != nil {
			t.Fatalf("decoded frame does not encode: %v", err)
		}
		back, err := decode(again)
		if err != nil {
			t.Fatalf("encoded frame does not decode: %v", err)
		}
		if third, _ := encode(back); !bytes.Equal(third, again) {
			t.Errorf("frame changes when it is encoded again: %x, %x", again, third)
		}
	})
}

// Guards against links that break because a peer of a newer release sends additional fields, and against frames that
// are crafted to exhaust the decoder's memory.
func TestDecodeLimits(t *testing.T) {
	newer, err := encoder.Marshal(map[string]any{"sent": 3, "pulse": map[string]any{"revision": 2, "mood": "x"}, "extra": []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	e, err := decode(newer)
	if want := (envelope{Sent: 3, Heartbeat: &heartbeat{Revision: 2}}); err != nil || !reflect.DeepEqual(e, want) {
		t.Errorf("decoded frame with unknown fields as %+v, %v; want %+v", e, err, want)
	}
	invalid := map[string][]byte{
		"empty":             {},
		"two frames":        {0xa0, 0xa0},
		"not a map":         {0x81, 0x01},
		"duplicate key":     {0xa2, 0x64, 's', 'e', 'n', 't', 0x01, 0x64, 's', 'e', 'n', 't', 0x02},
		"huge array length": {0xa1, 0x67, 'r', 'e', 'l', 'a', 'y', 'e', 'd', 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite length": {0xbf, 0xff},
		"tag":               {0xc1, 0xa0},
		"nested too deeply": append(append([]byte{0xa1, 0x61, 'x'}, bytes.Repeat([]byte{0x81}, 20)...), 0x01),
		"too large":         make([]byte, maxFrameBytes+1),
	}
	for name, data := range invalid {
		if e, err := decode(data); err == nil {
			t.Errorf("%s: decoded as %+v", name, e)
		}
	}
}
