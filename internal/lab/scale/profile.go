package scale

import (
	"path/filepath"
	"time"
)

// profile writes processor profiles of one hollow limiter before 8,500 servers: idle, and while servers change.
func (h *Harness) profile() error {
	s, err := newStands(standsSpec{limiters: 1, servers: h.sizes([]int{100}, []int{Servers})[0]})
	if err != nil {
		return err
	}
	defer s.close()
	hosts, err := h.startHollow(s, 0, 1, s.known())
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
	length := h.window(10 * time.Second)
	time.Sleep(h.window(3 * time.Second))
	for _, part := range []string{"idle", "changes"} {
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if part == "changes" {
				s.change(stop, 100*time.Millisecond)
			}
		}()
		path := filepath.Join(h.options.Out, "profile-"+part+".pprof")
		_, err := hosts[0].do(hostCommand{Do: "profile", Seconds: length.Seconds(), Path: path})
		close(stop)
		<-done
		if err != nil {
			return err
		}
		h.logf("profile %s", path)
	}
	return nil
}

// change changes one server after the other until stop is closed.
func (s *stands) change(stop chan struct{}, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			in := s.list[i%len(s.list)]
			in.StartedMs = time.Now().UnixMilli()
			s.discovery.Set(in)
		}
	}
}
