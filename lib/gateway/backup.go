package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// minBackupFree is the share of an engine's memory that must stay free for it to hold another run's backup. With backups of
// every run the engines' memory fills up and runs are preempted, which costs more than the backups save.
const minBackupFree = 0.7

// backup is a copy of a run's memory that its engine keeps up to date on another engine.
type backup struct {
	target fleet.Info // empty: none
	tokens int        // counted against the target's memory
}

// wantsBackup reports whether the run needs a backup, which holds for a run that can't be repeated from its prompt. Only a
// backup survives the crash of the run's engine, or a termination notice too short for a move.
func (r *run) wantsBackup() bool {
	return r.c.engine != nil && r.c.engine.SupportsBackups && !r.c.route.MayRepeat() && r.g.Names.Backup != ""
}

// chooseBackup selects an engine for the run's backup: the one that the owner found along with the run's engine, or one
// chosen from this instance's own state.
func (r *run) chooseBackup(to placement) {
	if !r.wantsBackup() {
		return
	}
	tokens := r.currentLoad().Tokens
	engine, ok := r.g.Fleet.Info(to.backup)
	ok = ok && engine.Software.ID == to.target.Software.ID
	if !to.byOwner {
		need := fleet.Need{Service: to.target.Service, Tokens: tokens, Regions: r.g.regions(r.c), Software: to.target.Software.ID}
		engine, ok = r.g.Fleet.ChooseForCopy(time.Now(), need, to.target.ID, minBackupFree)
	}
	if !ok {
		return
	}
	r.g.Fleet.AddLoad(engine.ID, fleet.Load{Tokens: tokens})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backup = backup{target: engine, tokens: tokens}
}

// dropBackup releases the backup's memory on its engine and returns that engine.
func (r *run) dropBackup() fleet.Info {
	r.mu.Lock()
	b := r.backup
	r.backup = backup{}
	r.mu.Unlock()
	if b.target.ID != "" {
		r.g.Fleet.AddLoad(b.target.ID, fleet.Load{Tokens: -b.tokens})
	}
	return b.target
}

// resumeFromBackup returns the placement to continue from the backup after the run's engine failed; ok is false without one. It waits while
// the backup's engine accepts nothing.
func (r *run) resumeFromBackup(ctx context.Context) (to placement, ok bool) {
	target := r.dropBackup()
	if target.ID == "" || r.events == 0 || r.g.Fleet.IsLeaving(target.ID) {
		return placement{}, false
	}
	size := r.currentLoad()
	need := fleet.Need{
		Service: target.Service, Tokens: size.Tokens, Regions: r.g.regions(r.c), FoundByOwner: true, Software: r.c.software.ID,
	}
	kept := r.keep(target.Addr+"/"+r.c.id, r.lastContactAt(), target)
	if engine, ok := r.g.Fleet.AcquireAt(time.Now(), target.ID, need); ok {
		r.g.Budget.ForceTake(time.Now(), r.c.service)
		return placement{target: engine, load: fleet.Load{Tokens: size.Tokens}, copyFrom: kept.copyFrom, kept: kept}, true
	}
	if target.Software.ID != r.c.software.ID {
		return placement{}, false
	}
	return r.awaitHolder(ctx, kept)
}

// backupTarget returns the engine that holds the backup.
func (r *run) backupTarget() fleet.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backup.target
}

// HeldMemory lists the memory that backups and move reservations of this instance's runs take on engines.
func (g *Gateway) HeldMemory() []owner.Copy {
	var out []owner.Copy
	for _, list := range g.runs.all() {
		for _, r := range list {
			id := rendezvous.Hash(r.c.id)
			r.mu.Lock()
			if r.backup.target.ID != "" {
				out = append(out, owner.Copy{Target: r.backup.target.ID, Tokens: r.backup.tokens, Run: id})
			}
			if r.reserved.target != "" {
				out = append(out, owner.Copy{Target: r.reserved.target, Tokens: r.reserved.tokens, Run: id})
			}
			r.mu.Unlock()
		}
	}
	return out
}
