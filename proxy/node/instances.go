package node

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// instancesKind holds an entry for each instance, named by the instance.
const instancesKind = "instances"

// instanceList is the list of instances in the store. It implements objectstore.InstanceList.
type instanceList struct {
	store *platform.Store
}

// Instances implements objectstore.InstanceList. It accepts data that is seconds old, as a list of instances
// always is.
func (l instanceList) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	objects, _, err := l.store.List(ctx, instancesKind, true)
	if err != nil {
		return nil, err
	}
	out := make([]objectstore.Instance, 0, len(objects))
	for _, o := range objects {
		var i objectstore.Instance
		if err := json.Unmarshal(o.Spec, &i); err != nil {
			return nil, errors.Wrapf(err, "entry of instance %s can't be read; remove it", o.Name)
		}
		out = append(out, i)
	}
	return out, nil
}

// register writes the entry of an instance.
func (l instanceList) register(ctx context.Context, i objectstore.Instance) error {
	value, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode the entry of this instance")
	}
	return l.store.Overwrite(ctx, instancesKind+"/"+i.ID, value)
}
