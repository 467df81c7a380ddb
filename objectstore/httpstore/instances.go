package httpstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// InstancesKey is the object that holds the platform's list of instances as a JSON array. Only
// the platform writes it.
const InstancesKey = "instances/list"

// InstanceList reads the platform's list of instances from the store, one Get per call.
type InstanceList struct {
	Store objectstore.Store
}

var _ objectstore.InstanceList = InstanceList{}

// Instances implements objectstore.InstanceList. It returns objectstore.ErrNotFound if the list is
// missing, to distinguish that from an empty list.
func (l InstanceList) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	obj, err := l.Store.Get(ctx, InstancesKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the list of instances")
	}
	return DecodeInstances(obj.Value)
}

// DecodeInstances decodes the value of the object at InstancesKey.
func DecodeInstances(value []byte) ([]objectstore.Instance, error) {
	var list []objectstore.Instance
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(err, "list of instances is not a JSON array; have the platform write it again")
	}
	return list, nil
}
