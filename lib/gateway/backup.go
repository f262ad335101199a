package gateway

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// backupFree is the share of an engine's memory that must stay free for it to hold a copy of another's run. With copies
// of every run the engines' memory fills up and runs are preempted, which costs more than the copies save.
const backupFree = 0.7

// backup is a copy of a run that its engine keeps up to date on another one.
type backup struct {
	at     fleet.Info // empty: none
	tokens int        // counted there
}

// wantsBackup reports whether a copy of the run is to be kept: of one that can't be run again from its prompt. It is all
// that survives the crash of the run's engine, and a notice too short for a move.
func (r *run) wantsBackup() bool {
	return r.c.engine != nil && r.c.engine.Backups && !r.c.route.MayRepeat() && r.g.Names.Backup != ""
}

// chooseBackup picks an engine for a copy of a run: the one that the owner has found with the run's own, or by what this
// instance knows.
func (r *run) chooseBackup(to next) {
	if !r.wantsBackup() {
		return
	}
	tokens := r.size().Tokens
	at, ok := r.g.Fleet.Info(to.backup)
	if !to.owned {
		need := fleet.Need{Service: to.target.Service, Tokens: tokens, Regions: r.g.regions(r.c)}
		at, ok = r.g.Fleet.ChooseForCopy(time.Now(), need, to.target.ID, backupFree)
	}
	if !ok {
		return
	}
	r.g.Fleet.AddLoad(at.ID, fleet.Load{Tokens: tokens})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copy = backup{at: at, tokens: tokens}
}

// dropBackup takes the copy's tokens off its engine and returns where it was.
func (r *run) dropBackup() fleet.Info {
	r.mu.Lock()
	b := r.copy
	r.copy = backup{}
	r.mu.Unlock()
	if b.at.ID != "" {
		r.g.Fleet.AddLoad(b.at.ID, fleet.Load{Tokens: -b.tokens})
	}
	return b.at
}

// fromBackup says how to go on from the copy after the run's engine has failed; ok is false when there is none.
func (r *run) fromBackup() (next, bool) {
	at := r.dropBackup()
	if at.ID == "" || r.events == 0 || r.g.Fleet.IsLeaving(at.ID) {
		return next{}, false
	}
	size := r.size()
	need := fleet.Need{Service: at.Service, Tokens: size.Tokens, Regions: r.g.regions(r.c), FoundByOwner: true}
	to, ok := r.g.Fleet.AcquireAt(time.Now(), at.ID, need)
	if !ok {
		return next{}, false
	}
	return next{target: to, counted: fleet.Load{Tokens: size.Tokens}, copyFrom: to.Addr + "/" + r.c.id}, true
}

// backupAt returns the engine that holds the copy.
func (r *run) backupAt() fleet.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copy.at
}

// HeldMemory lists the memory that copies of this instance's runs take.
func (g *Gateway) HeldMemory() []owner.Copy {
	var out []owner.Copy
	for _, list := range g.runs.all() {
		for _, r := range list {
			id := rendezvous.Hash(r.c.id)
			r.mu.Lock()
			if r.copy.at.ID != "" {
				out = append(out, owner.Copy{Target: r.copy.at.ID, Tokens: r.copy.tokens, Run: id})
			}
			if r.booked.at != "" {
				out = append(out, owner.Copy{Target: r.booked.at, Tokens: r.booked.tokens, Run: id})
			}
			r.mu.Unlock()
		}
	}
	return out
}
