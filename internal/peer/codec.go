package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of frames. A configuration body is by far the largest message.
const (
	maxFrameBytes    = 4 << 20
	maxFrameElements = 16 << 10
	maxFramePairs    = 256
	maxFrameNesting  = 8
)

// envelope adds timestamps to a frame that bound the age of its content. Sent is the sender's clock in milliseconds
// since its start, read before the frame was composed. Echo is the highest Sent that the sender had received on this
// link by then. The receiver knows when it sent the echoed value, and the frame was composed after that time, however
// long the frame waited in queues and buffers or either process was paused.
type envelope struct {
	Frame
	Sent      int64          `cbor:"sent,omitempty"`
	Echo      int64          `cbor:"echo,omitempty"`
	Heartbeat *heartbeat     `cbor:"pulse,omitempty"`
	Relayed   []relayedState `cbor:"relayed,omitempty"`
	// Costs holds the costs of State, packed as in relayedState.
	Costs []int `cbor:"costs,omitempty"`
	// Names holds the names of teams and services to which the indexes in packed costs refer.
	Names []string `cbor:"names,omitempty"`
}

// relayedState is what a relay forwards about an instance. Integer keys keep it small, because a relay sends one per
// instance on each link every second.
type relayedState struct {
	// ShortID identifies the instance on this link. The first entry with a short ID carries the state.
	ShortID int `cbor:"1,keyasint"`
	// AgeMs is an upper bound on the age of the state when the relay composed its frame.
	AgeMs         int64 `cbor:"2,keyasint"`
	Revision      int64 `cbor:"3,keyasint,omitempty"`
	EvidenceAgeMs int64 `cbor:"4,keyasint"`
	// State is set if the instance, its revision or its flags are new on this link. Its costs are in Costs, which are
	// also sent without a state.
	State *State `cbor:"5,keyasint,omitempty"`
	// Costs holds five numbers for each cost: team, service, served, waiting, in flight. Team and service are indexes
	// into the names of the frame.
	Costs []int `cbor:"6,keyasint,omitempty"`
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxFrameElements,
		MaxMapPairs:      maxFramePairs,
		MaxNestedLevels:  maxFrameNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(e envelope) ([]byte, error) {
	data, err := encoder.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer frame")
	}
	if len(data) > maxFrameBytes {
		return nil, errors.Errorf("peer frame of %d bytes exceeds the limit of %d", len(data), maxFrameBytes)
	}
	return data, nil
}

func decode(data []byte) (envelope, error) {
	var e envelope
	if len(data) > maxFrameBytes {
		return e, errors.Errorf("peer frame of %d bytes exceeds the limit of %d", len(data), maxFrameBytes)
	}
	if err := decoder.Unmarshal(data, &e); err != nil {
		return envelope{}, errors.Wrap(err, "decode peer frame")
	}
	return e, nil
}
