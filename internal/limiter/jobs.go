package limiter

import (
	"bytes"
	"fmt"
	"log"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// State is where a job stands; move is the only function that changes it.
type State uint8

const (
	Taken State = iota
	Done
	Rejected
	WrittenOff
	Left // its client has gone
)

type job struct {
	id     string
	state  State
	client *client
	answer *answer // its place among the client's answers
	cutOff int64
	// How long a server knows the job again after a shot, where it does; 0 else.
	repeats int64
	group   choice.Group // and which servers do
	shots   []*shot
	open    int // shots that are out
	size    int64
	// The command as the client sent it: its words, and the third of them around the time that it gives.
	words        [][]byte
	before, past []byte
}

type shot struct {
	job     *job
	number  int
	at      int64
	open    bool
	backend *backend
	limit   *timer
	last    int64 // the place of its last byte among all that was written on its connection, 0 before
	place   place // where its server was then
	never   bool  // it has ended, and has not run
}

// place is what a list says of where a server stands.
type place struct {
	zone string
	cell int64
}

// same tells whether two places are in one group.
func (p place) same(group choice.Group, o place) bool {
	return group == choice.GroupAll || group == choice.GroupZone && p.zone == o.zone || group == choice.GroupCell && p.cell == o.cell
}

var (
	rejectedPlain = []byte("-BUSY\r\n")
	writtenOff    = []byte("-ERR written off\r\n")
)

// take makes a job of a command; the words are copied, for they stand in the connection's buffer.
func (l *Limiter) take(c *client, a *answer, words [][]byte, before, past int, budget int64) *job {
	size := 0
	for _, w := range words {
		size += len(w)
	}
	text := make([]byte, 0, size)
	j := &job{id: string(words[2]), client: c, answer: a, cutOff: l.now + budget, size: int64(size),
		words: make([][]byte, len(words))}
	for i, w := range words {
		text = append(text, w...)
		j.words[i] = text[len(text)-len(w):]
	}
	j.before, j.past = j.words[3][:before], j.words[3][past:]
	l.tolls.taken++
	l.held += j.size
	l.jobs[j.id], l.settled = j, false
	return j
}

// move is the only place where a job changes its state. A job ends once, with one answer to its client.
func (l *Limiter) move(j *job, to State, text []byte) {
	if j.state != Taken {
		return
	}
	l.ended = l.now
	if j.state = to; to == Done {
		l.tolls.done++
	}
	for _, s := range j.shots {
		// A command of which the kernel has only a part must not become whole after the job's end: this comes before the answer.
		if s.open && s.last > 0 && l.effects.Written(s.backend.c.id) < s.last {
			l.over(s.backend.c, CalledOff)
		}
	}
	if to != Left {
		j.client.answer(j.answer, text)
	}
	l.drop(j)
}

// drop lets go of a job that has ended, once nothing of it is out.
func (l *Limiter) drop(j *job) {
	if j.state != Taken && j.open == 0 && l.jobs[j.id] == j {
		l.held -= j.size
		delete(l.jobs, j.id)
	}
}

// command writes the job's command with the time that is left.
func (j *job) command(to []byte, now int64) []byte {
	left := strconv.AppendInt(nil, max(1, (j.cutOff-now)/1e6), 10)
	list := bytes.Join([][]byte{j.before, left, j.past}, nil)
	words := append(append(make([][]byte, 0, len(j.words)), j.words[:3]...), list)
	return resp.AppendCommand(to, append(words, j.words[4:]...)...)
}

// tolls counts what became of jobs since it was last logged.
type tolls struct {
	taken, done int
	rejected    [choice.Causes]int
}

// LogTolls logs the counts since the last time, if there are any, in one line whatever their number.
func (l *Limiter) LogTolls() {
	if t := l.tolls; t != (tolls{}) {
		line := fmt.Sprintf("event=jobs taken=%d done=%d", t.taken, t.done)
		for c, n := range t.rejected {
			line += fmt.Sprintf(" %s=%d", choice.Cause(c), n)
		}
		log.Print(line)
		l.tolls = tolls{}
	}
}

// Send is a deed of the module. A shot that cannot be sent any more was never sent.
func (l *Limiter) Send(id, server string) {
	j := l.jobs[id]
	s := &shot{job: j, number: len(j.shots), at: l.now, open: true}
	j.shots = append(j.shots, s)
	j.open++
	if j.state != Taken || l.now >= j.cutOff || len(j.shots) > l.set.MostShots {
		l.endShot(s, choice.Reply{Outcome: choice.Moot})
		return
	}
	p := l.pools[server]
	l.sure(func() {
		if j.state != Taken || l.now >= j.cutOff || p.leaving {
			l.endShot(s, choice.Reply{Outcome: choice.Moot})
		} else if s.open {
			p.send(s)
		}
	})
}

// Cancel is a deed of the module: it closes the shot's connection.
func (l *Limiter) Cancel(id string, number int) {
	j := l.jobs[id]
	if j == nil || number >= len(j.shots) || !j.shots[number].open {
		return
	}
	if b := j.shots[number].backend; b != nil {
		l.over(b.c, CalledOff)
	} else { // it waits for a sure list
		l.endShot(j.shots[number], choice.Reply{Outcome: choice.Moot})
	}
}

// endShot ends a shot, once, and owes the module its answer.
func (l *Limiter) endShot(s *shot, reply choice.Reply) {
	if !s.open {
		return
	}
	j := s.job
	l.timers.drop(s.limit)
	s.open, s.backend = false, nil
	s.never = reply.Outcome == choice.Full || reply.Outcome == choice.Unconnected || reply.Outcome == choice.Moot
	j.open--
	reply.Job, reply.Shot, reply.Took, reply.Final = j.id, s.number, l.now-s.at, j.state != Taken
	l.owed = append(l.owed, owed{reply: reply})
	l.drop(j)
}

// Reject is a deed of the module.
func (l *Limiter) Reject(id string, retryAfter int64, cause choice.Cause) {
	l.tolls.rejected[cause]++
	text := rejectedPlain
	if retryAfter > 0 {
		text = strconv.AppendInt([]byte("-BUSY "), (retryAfter+1e6-1)/1e6, 10)
		text = append(text, "\r\n"...)
	}
	if j := l.jobs[id]; j != nil {
		l.move(j, Rejected, text)
	}
}

// WriteOff is a deed of the module.
func (l *Limiter) WriteOff(id string) {
	if j := l.jobs[id]; j != nil {
		l.move(j, WrittenOff, writtenOff)
	}
}
