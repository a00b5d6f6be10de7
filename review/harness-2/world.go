package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// The bounds of the sites.
const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second
	stallTime = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
)

// world is a small deployment on loopback addresses.
type world struct {
	r         *rand.Rand
	record    *record
	temp      string
	port      int // the first of four that are free at all addresses
	storeAt   string
	store     *store
	processes []*process
	entries   []*process
	closers   []func()
	closing   sync.Once
}

// The loopback networks of a case, so that each machine has an address of its own.
const (
	storeIP  = "127.0.60.1"
	entryNet = "127.0.61."
	sideNet  = "127.0.62."
	plainNet = "127.0.63."
	machines = 24 // at most, in each network
)

func newWorld(dir string, seed uint64) (*world, error) {
	w := &world{r: rand.New(rand.NewPCG(seed, 54))}
	var err error
	if w.record, err = newRecord(dir); err != nil {
		return nil, err
	}
	if w.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.port, err = freePorts(); err != nil {
		return nil, err
	}
	w.storeAt = fmt.Sprintf("%s:%d", storeIP, w.port)
	w.store, err = newStore(w.storeAt, w.record)
	return w, err
}

// freePorts returns the first of five ports that are free at all addresses of a case.
func freePorts() (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(2000)*5
		if free(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func free(port int) bool {
	for _, network := range []string{"127.0.60.", entryNet, sideNet, plainNet} {
		for n := 1; n <= machines; n++ {
			for p := port; p < port+5; p++ {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", network, n, p))
				if err != nil {
					return false
				}
				_ = l.Close() // nobody has connected
			}
		}
	}
	return true
}

// The ports of a machine, after those for the system's own processes.
const (
	frontPort = 2
	readyPort = 3
	appPort   = 4
)

func (w *world) at(network string, machine, port int) string {
	return fmt.Sprintf("%s%d:%d", network, machine, w.port+port)
}

// startEntries starts entries, one on each machine.
func (w *world) startEntries(count int) error {
	for n := 1; n <= count; n++ {
		f := w.fields(fmt.Sprint("front-", n), fmt.Sprint(entryNet, n), "z")
		f["listen.front"], f["listen.readiness"] = w.at(entryNet, n, frontPort), w.at(entryNet, n, readyPort)
		p, err := w.startProcess(fmt.Sprint("front-", n), "deploy/entry.yaml", f)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for n := 1; n <= count; n++ {
		if err := eventually(20*time.Second, fmt.Sprint("entry ", n, " is ready"), func() bool { return w.ready(n) }); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) ready(entry int) bool {
	c := http.Client{Timeout: 700 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + w.at(entryNet, entry, readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close() // it is empty
	return a.StatusCode == http.StatusOK
}

// close ends all that the case started, once.
func (w *world) close() { w.closing.Do(w.end) }

func (w *world) end() {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range w.processes {
		p.ended(5 * time.Second)
	}
	for _, c := range w.closers {
		c()
	}
	if w.store != nil {
		w.store.close()
	}
	w.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs in", w.temp)
	}
}
