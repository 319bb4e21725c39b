package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file runs on an edge machine.
const program = "target/platform"

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// host is an edge machine with one process of the system.
type host struct {
	name, front, ready, peer, storeAddress string
	memoryMB                               int
	folder                                 string
	record                                 *recorder

	mutex   sync.Mutex
	command *exec.Cmd
	starts  int
	// overMemory counts the processes that were killed because of their memory.
	overMemory int
	peakMB     int
	closing    bool
	done       chan struct{}
}

// The ports of hosts lie below those that the kernel gives to outgoing connections, which could
// take one while its process is down.
const firstPort, lastPort = 20000, 30000

// takenPorts has the ports of this case, some of which nobody listens on for the moment.
var takenPorts = make(map[int]bool)

// freePorts returns addresses on loopback that nobody listens on, different ones at each call.
func freePorts(n int) (list []string, err error) {
	for tries := 0; len(list) < n; tries++ {
		if tries == lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		if takenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		takenPorts[port] = true
		list = append(list, l.Addr().String())
	}
	return list, nil
}

func newHost(n, memoryMB int, folder, storeAddress string, rec *recorder) (*host, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: fmt.Sprintf("edge-a-%d", n), front: ports[0], ready: ports[1], peer: ports[2], storeAddress: storeAddress,
		memoryMB: memoryMB, folder: folder, record: rec, done: make(chan struct{}),
	}
	return h, os.WriteFile(h.settingsFile(), []byte(h.settings()), 0o600)
}

func (h *host) settingsFile() string { return filepath.Join(h.folder, h.name+".conf") }

// settings are those of a small deployment, but for addresses and ports.
func (h *host) settings() string {
	_, port, _ := strings.Cut(h.peer, ":")
	return strings.Join([]string{
		"node_name=" + h.name, "role=entry", "machine_class=edge", "serves=edge", "ip=127.0.0.1", "zone=z-a", "region=z", "zones.z-a=z",
		wire("listen-front") + "=" + h.front, "listen.ready_addr=" + h.ready, "internal_ports=" + port + "," + port, "bootstrap=true",
		"limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=" + strconv.Itoa(h.memoryMB), "limits.max_fds=8200", "limits.link_mbps=1000.0",
		"limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000",
		"bounds.finish_s=10", "bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.fencing_enforced=false",
		"bounds.lease_ms=3000", "bounds.thaw_ms=300", "platform.address=" + h.storeAddress, "platform.form=log",
		"platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.parts=12", "platform.append_ms=2.0", "platform.part_mb_s=20.0",
		"platform.read_mb_s=80.0", "platform.record_bytes=262144", "platform.call_bytes=2097152", "platform.retention_s=300",
		"platform.part_mb=200", "platform.ttl_min_ms=1000", "",
	}, "\n")
}

// run keeps a process of the host running until stop, as the platform does: one that has ended is
// started again, and one that exceeds the machine's memory is killed.
func (h *host) run() {
	defer close(h.done)
	for !h.isClosing() {
		ended, err := h.start()
		if err != nil {
			h.record.line("not started", "host", h.name, "error", err.Error())
			return
		}
		h.watch(ended)
		time.Sleep(restartDelay)
	}
}

func (h *host) isClosing() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.closing
}

func (h *host) start() (ended chan error, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	h.command = exec.Command(program)
	h.command.Env = []string{"LYCHEELADDER_NODE_FILE=" + h.settingsFile(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.command.Stdout, h.command.Stderr = log, log
	// The process ends with this one, whatever happens to it.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	h.starts++
	h.record.line("start", "host", h.name, "front", h.front)
	ended = make(chan error, 1)
	go func(c *exec.Cmd) { ended <- c.Wait() }(h.command)
	return ended, nil
}

const memoryInterval = 10 * time.Millisecond

func (h *host) watch(ended chan error) {
	for {
		select {
		case err := <-ended:
			h.record.line("end", "host", h.name, "cause", fmt.Sprint(err))
			return
		case <-time.After(memoryInterval):
		}
		h.mutex.Lock()
		used := anonymousMB(h.command.Process.Pid)
		h.peakMB = max(h.peakMB, used)
		if used > h.memoryMB && !h.closing {
			h.overMemory++
			h.record.line("over memory", "host", h.name, "used_mb", used, "memory_mb", h.memoryMB)
			_ = h.command.Process.Kill()
		}
		h.mutex.Unlock()
	}
}

// anonymousMB returns the memory of a process without the pages of files, or 0 if it has ended.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			n, _ := strconv.Atoi(string(bytes.Fields(rest)[0])) // 0 if it can't be read
			return n >> 10
		}
	}
	return 0
}

// hasSocket reports whether the process of the host has the socket with an address.
func (h *host) hasSocket(a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	local := fmt.Sprintf(":%04X", tcp.Port)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], local) {
			continue
		}
		if h.hasFile("socket:[" + fields[9] + "]") {
			return true
		}
	}
	return false
}

func (h *host) hasFile(name string) bool {
	h.mutex.Lock()
	folder := fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid)
	h.mutex.Unlock()
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && to == name {
			return true
		}
	}
	return false
}

// signal sends a signal to the process of the host.
func (h *host) signal(s syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.command != nil && h.command.Process != nil {
		h.record.line("signal", "host", h.name, "signal", s.String())
		_ = h.command.Process.Signal(s)
	}
}

// stop ends the process for good.
func (h *host) stop() {
	h.mutex.Lock()
	h.closing = true
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill()
	}
	h.mutex.Unlock()
	<-h.done
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) isReady() bool {
	r, err := probe.Get("http://" + h.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}
