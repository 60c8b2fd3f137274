package main

import (
	"fmt"
	"syscall"
	"time"

	"ospreycroft/review/standin"
)

// A new configuration, with SIGHUP, gives commit-constants another effect: guarded becomes single_shot.
const (
	retuneAt    = 8 * time.Second
	retuneBinds = 1200 * time.Millisecond // after SIGHUP
	retuneEnd   = 30 * time.Second
	resetEvery  = 25 // one in so many commits has its connection reset when it has run
	dedupWindow = 4.0
)

// setCommitEffect sets the effect of commit-constants.
func setCommitEffect(settings map[string]any, effect string) {
	for _, class := range settings["classes"].([]map[string]any) {
		if class["name"] == commitClass {
			class["effect"], class["group"], class["dedup-window"] = effect, "all", dedupWindow
		}
	}
}

// guardCommits has commit-constants marked against repeats, known to all servers.
func guardCommits(settings map[string]any) { setCommitEffect(settings, "guarded") }

// playRetuning judges the rule on double effects. Requests that came before the new rules bind, and all without the
// disruption, are judged as guarded: a repeat has to come within the window. The others must not be sent again.
func playRetuning(w *world, trouble bool) (verdict, error) {
	w.servers.ResetEvery = map[string]int{commitClass: resetEvery}
	usual := startLoad(90, w.usual("u", 6))
	w.until(retuneAt)
	binds := time.Duration(1<<62 - 1)
	if trouble {
		for i, l := range w.limiters {
			setCommitEffect(w.configs[i]["settings"].(map[string]any), "single_shot")
			if err := l.WriteConfig(w.configs[i]); err != nil {
				return verdict{}, err
			}
			if err := l.Signal(syscall.SIGHUP); err != nil {
				return verdict{}, err
			}
		}
		w.record.Linef("new configuration: %s is single_shot; SIGHUP", commitClass)
		binds = w.record.Now() + retuneBinds
	}
	w.until(retuneEnd)
	usual.end()
	results := w.results()
	if err := w.check(); err != nil {
		return verdict{}, err
	}
	if served := count(results, standin.Served); served < len(results)/4 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	sent := map[string]time.Duration{}
	for _, r := range results {
		sent[r.Request.ID] = r.Sent
	}
	runs, bound, twice, late := map[string][]standin.Attempt{}, 0, 0, 0
	for _, a := range w.servers.Attempts() {
		if a.Class == commitClass && a.Ran {
			runs[a.ID] = append(runs[a.ID], a)
		}
	}
	for id, all := range runs {
		switch again := len(all) > 1; {
		case sent[id] >= binds:
			bound++
			if again {
				twice++
				w.record.Linef("BREACH: %s, sent at %.3f s, ran at %s and again at %s", id, sent[id].Seconds(), all[0].Server,
					all[1].Server)
			}
		case again && (all[1].At-all[0].At).Seconds() > dedupWindow:
			late++
		}
	}
	if trouble && bound < 100 {
		return verdict{}, fmt.Errorf("only %d requests of the class came under the new rules", bound)
	}
	return verdict{twice+late > 0, fmt.Sprintf("%d requests of the class ran, %d of them under the new rules; of these %d ran twice; %d repeats came after the window",
		len(runs), bound, twice, late)}, nil
}
