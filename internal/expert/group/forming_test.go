package group_test

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// applyFormer carries out the actions of a node's former.
func (w *world) applyFormer(n *node, actions []group.EpochFormerAction) {
	incarnation := n.incarnation
	for _, a := range actions {
		switch a.Kind {
		case group.EpochFormerSend:
			w.send(n.name, group.Action{To: a.To, Message: a.Message})
		case group.EpochFormerViolate:
			w.fail("former of %s: %s", n.name, a.Text)
		case group.EpochFormerCall:
			w.later(w.messageDelay(), func() {
				r := w.call(a.Call)
				w.later(w.messageDelay(), func() {
					if n.incarnation == incarnation && !n.down {
						w.applyFormer(n, n.former.Handle(w.now(), group.EpochFormerEvent{Kind: group.EpochFormerReply, Reply: r}))
					}
				})
			})
		}
	}
}

// call makes the platform carry out a call, and records a new epoch.
func (w *world) call(c object.Call) object.Reply {
	w.platform.fence = w.fence()
	before := w.platform.record.Version
	reply := w.platform.call(c)
	if w.platform.record.Version == before {
		return reply
	}
	r, err := group.DecodeRecord(w.platform.record.Value)
	if err != nil || r.Epoch != w.record.Epoch+1 {
		w.fail("record of epoch %d after %d: %v", r.Epoch, w.record.Epoch, err)
		return reply
	}
	w.record = r
	w.epochs++
	return reply
}

// save stores a map that has become active, as the holder of the planning lease
// does.
func (w *world) save(ended group.Action) {
	if ended.Vote != group.Committed || w.platform.down || ended.Record.Epoch != w.record.Epoch || ended.Record.Number <= w.record.Number {
		return
	}
	r := *w.record
	r.Number, r.Map = ended.Record.Number, ended.Record.Map
	b, err := r.Encode()
	if err != nil {
		w.fail("save: %v", err)
		return
	}
	w.record = &r
	w.platform.record.Version++
	w.platform.record.Value = b
}
