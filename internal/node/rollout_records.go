package node

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/canary"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

type (
	// RolloutStatus is what hosts tell the operator of a rollout.
	RolloutStatus struct {
		To      string
		Outcome canary.Outcome
	}

	// RolloutEncoder encodes the items of a rollout.
	RolloutEncoder interface {
		// RolloutOrderKey and RolloutStatusKey return the keys of the items of a service.
		RolloutOrderKey(service string) string
		RolloutStatusKey(service string) string
		// EncodeRolloutStatus encodes a status.
		EncodeRolloutStatus(st RolloutStatus) ([]byte, error)
	}

	// rolloutRecords follows the orders and statuses of rollouts in the metadata store, and writes statuses. It is safe for
	// concurrent use.
	rolloutRecords struct {
		log      logrus.FieldLogger
		decoder  Decoder
		encoder  RolloutEncoder
		store    metastore.Store
		canaries *canary.Tracker

		mu    sync.Mutex
		items map[string]*rolloutItems
	}

	// rolloutItems are the items of one service. A revision is zero if the store does not have the item.
	rolloutItems struct {
		order          canary.Key
		orderRevision  metastore.Revision
		status         RolloutStatus
		statusRevision metastore.Revision
		// isMissing is set if the copy of a restored store did not have the order.
		isMissing bool
	}
)

func newRolloutRecords(no *Node) *rolloutRecords {
	return &rolloutRecords{
		log: no.log.WithField("part", "rollout"), decoder: no.deps.Decoder, encoder: no.deps.Rollouts, store: no.deps.Store, canaries: no.canaries,
		items: make(map[string]*rolloutItems),
	}
}

// applySnapshot replaces the known items by those of a complete snapshot of the store. What the copy of a restored store lacks was
// not taken back by the operator.
func (rr *rolloutRecords) applySnapshot(sn metastore.Snapshot, isRestored bool) {
	orders := make(map[string]bool)
	rr.mu.Lock()
	for _, ri := range rr.items {
		ri.orderRevision, ri.statusRevision, ri.status = metastore.Revision{}, metastore.Revision{}, RolloutStatus{}
	}
	rr.mu.Unlock()
	for _, it := range sn.Items {
		if kind, service := rr.decoder.ClassifyItem(it.Key); kind == ItemRolloutOrder {
			orders[service] = true
			rr.applyOrder(service, it, false)
		}
	}
	for _, it := range sn.Items {
		if kind, service := rr.decoder.ClassifyItem(it.Key); kind == ItemRolloutStatus {
			rr.applyStatus(service, it)
		}
	}
	for _, st := range rr.canaries.Statuses() {
		service := st.Order.Service
		switch {
		case orders[service]:
		case isRestored || rr.isMissing(service):
			rr.mu.Lock()
			rr.find(service).isMissing = true
			rr.mu.Unlock()
		default:
			rr.withdraw(service)
		}
	}
}

// applyEvent applies a change of an item.
func (rr *rolloutRecords) applyEvent(ev metastore.Event) {
	kind, service := rr.decoder.ClassifyItem(ev.Item.Key)
	switch {
	case kind == ItemRolloutOrder && ev.Removed:
		rr.withdraw(service)
	case kind == ItemRolloutOrder:
		rr.applyOrder(service, ev.Item, true)
	case kind == ItemRolloutStatus && ev.Removed:
		rr.mu.Lock()
		defer rr.mu.Unlock()
		ri := rr.find(service)
		ri.status, ri.statusRevision = RolloutStatus{}, metastore.Revision{}
	case kind == ItemRolloutStatus:
		rr.applyStatus(service, ev.Item)
	}
}

// applyOrder applies an order. IsNew is set if the host has seen it come.
func (rr *rolloutRecords) applyOrder(service string, it metastore.Item, isNew bool) {
	od, err := rr.decoder.RolloutOrder(it.Value)
	if err != nil || od.Service != service || od.To == "" {
		rr.log.WithFields(logrus.Fields{"key": it.Key, "cause": err}).Error("Order to roll out a software version is invalid.")
		return
	}
	od.Revision = it.Revision.Number
	rr.mu.Lock()
	ri := rr.find(service)
	ri.order, ri.orderRevision, ri.isMissing = od.Key(), it.Revision, false
	rr.mu.Unlock()
	if rr.canaries.Begin(od, isNew) {
		rr.log.WithFields(logrus.Fields{
			"service": service, "software": od.To, "duration-ms": od.Duration.Milliseconds(), "revision": it.Revision.String(),
		}).Info("Rollout was ordered.")
	}
}

func (rr *rolloutRecords) applyStatus(service string, it metastore.Item) {
	st, err := rr.decoder.RolloutStatus(it.Value)
	if err != nil {
		rr.log.WithFields(logrus.Fields{"key": it.Key, "cause": err.Error()}).Warn("Status of a rollout is invalid.")
		return
	}
	rr.mu.Lock()
	ri := rr.find(service)
	if ri.statusRevision.Before(it.Revision) {
		ri.status, ri.statusRevision = st, it.Revision
	}
	key, current := ri.order, ri.current()
	rr.mu.Unlock()
	if current != nil {
		rr.canaries.End(key, current.Outcome)
	}
}

func (rr *rolloutRecords) withdraw(service string) {
	rr.mu.Lock()
	ri := rr.find(service)
	ri.order, ri.orderRevision, ri.isMissing = canary.Key{}, metastore.Revision{}, false
	rr.mu.Unlock()
	rr.canaries.Withdraw(service)
	rr.log.WithField("service", service).Info("Order to roll out a software version was taken back.")
}

func (rr *rolloutRecords) isMissing(service string) bool {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return rr.find(service).isMissing
}

// write writes a status if the store does not have it, on condition that neither the order nor the status has changed. It returns
// the status that the store has; a rollout that has ended stays so.
func (rr *rolloutRecords) write(ctx context.Context, key canary.Key, st RolloutStatus) (RolloutStatus, error) {
	rr.mu.Lock()
	ri := rr.find(key.Service)
	current, orderRevision, statusRevision := ri.current(), ri.orderRevision, ri.statusRevision
	isKnown := ri.order == key
	rr.mu.Unlock()
	if current != nil && (current.Outcome != canary.Running || current.Outcome == st.Outcome) {
		return *current, nil
	}
	if rr.encoder == nil || !isKnown {
		return RolloutStatus{To: key.To}, nil
	}
	value, err := rr.encoder.EncodeRolloutStatus(st)
	if err != nil {
		return RolloutStatus{}, err
	}
	statusKey := rr.encoder.RolloutStatusKey(key.Service)
	revision, err := rr.store.Commit(ctx, metastore.Transaction{
		Preconditions: []metastore.Precondition{
			{Key: rr.encoder.RolloutOrderKey(key.Service), Revision: orderRevision}, {Key: statusKey, Revision: statusRevision},
		},
		Puts: []metastore.Put{{Key: statusKey, Value: value}},
	})
	if err != nil {
		return RolloutStatus{}, err
	}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if ri.statusRevision.Before(revision) {
		ri.status, ri.statusRevision = st, revision
	}
	return st, nil
}

// find returns the items of a service. The caller holds the lock.
func (rr *rolloutRecords) find(service string) *rolloutItems {
	ri := rr.items[service]
	if ri == nil {
		ri = &rolloutItems{}
		rr.items[service] = ri
	}
	return ri
}

// current returns the status of the order; nil if there is none, or that of an earlier order.
func (ri *rolloutItems) current() *RolloutStatus {
	isLater := ri.isMissing || ri.statusRevision.Number > ri.order.Revision
	if ri.statusRevision.IsZero() || ri.status.To != ri.order.To || !isLater {
		return nil
	}
	st := ri.status
	return &st
}
