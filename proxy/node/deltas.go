package node

import (
	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/bodydelta"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
)

const (
	// minDeltaBytes is the body size from which changes travel as differences. Smaller bodies fit into a few packets.
	minDeltaBytes = 4 << 10
	// maxKeptChangeBytes bounds the earlier bodies that a cache keeps for followers. A follower is a few changes behind at most;
	// four changes of a configuration of 60 KB fit.
	maxKeptChangeBytes = 256 << 10
	// maxDecodedDeltaBytes bounds the bodies that the differences in a reply decode to. A difference of 10 bytes may stand for
	// the largest object. A relay keeps maxKeptChangeBytes and the latest change, so its replies hardly reach the bound.
	maxDecodedDeltaBytes = 4 * objectstore.MaxValueBytes
)

// objectChange is a change of an object that is kept for followers.
type objectChange struct {
	platform.Object
	before platform.Object // revision 0 if there was none
}

// keptBytes returns the size of what only the change refers to: the cache or a later change has the body after it.
func (c objectChange) keptBytes() int {
	return len(c.before.Spec)
}

// excessChanges returns how many of the oldest changes are no longer kept. The latest one always is.
func excessChanges(changes []objectChange) int {
	drop, bytes := len(changes), 0
	for drop > 0 && len(changes)-drop < maxKeptChanges {
		bytes += changes[drop-1].keptBytes()
		if bytes > maxKeptChangeBytes && drop < len(changes) {
			break
		}
		drop--
	}
	return drop
}

// toDelta returns the change as a difference if that is much shorter.
func (c objectChange) toDelta() *relaypb.Object {
	out := toProto(c.Object)
	if c.Deleted || c.before.Revision == 0 || len(c.Spec) < minDeltaBytes {
		return out
	}
	delta := bodydelta.New(c.before.Spec, c.Spec)
	if len(delta) > len(c.Spec)/2 {
		return out
	}
	out.Spec, out.Delta, out.BaseRevision, out.Digest = nil, delta, c.before.Revision, bodydelta.Digest(c.Spec)
	return out
}

// applyDeltas returns the objects of a reply, of which some may be differences from earlier ones: from present, which returns
// the objects that this instance has, or from objects further ahead in the reply. It returns errUndecodable if one does not
// lead to the announced object, or if they lead to more than maxDecodedDeltaBytes.
func applyDeltas(in []*relaypb.Object, present func(name string) (platform.Object, bool)) ([]platform.Object, error) {
	out := fromProto(in)
	latest := map[string]platform.Object{}
	left := maxDecodedDeltaBytes
	for i, o := range in {
		if len(o.GetDelta()) > 0 {
			base, ok := latest[o.GetName()]
			if !ok {
				base, _ = present(o.GetName())
			}
			spec, err := applyDelta(base, o, min(left, objectstore.MaxValueBytes))
			if err != nil {
				return nil, errors.Mark(err, errUndecodable)
			}
			left -= len(spec)
			out[i].Spec = spec
		}
		latest[o.GetName()] = out[i]
	}
	return out, nil
}

func applyDelta(base platform.Object, o *relaypb.Object, limit int) ([]byte, error) {
	if base.Revision != o.GetBaseRevision() {
		return nil, errors.Newf("%s: the difference applies to revision %d, not %d", o.GetName(), o.GetBaseRevision(), base.Revision)
	}
	spec, err := bodydelta.Apply(base.Spec, o.GetDelta(), o.GetDigest(), limit)
	return spec, errors.Wrap(err, o.GetName())
}
