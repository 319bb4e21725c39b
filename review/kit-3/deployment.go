package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/storer"
	"github.com/lycheeladder/lycheeladder/platform/standin"
)

// The bounds of a small deployment (SYSTEM.md).
const (
	partitions = 12
	heartbeat  = 1200 * time.Millisecond
	contact    = 3 * time.Second
)

// host is one entry host with the project's program as a process.
type host struct {
	name, callers, readiness, settings, log string
	command                                 *exec.Cmd
}

// deployment is a platform with its hosts, all on loopback addresses.
type deployment struct {
	directory string
	store     *standin.Store
	hosts     []*host
	record    *record
}

// record is the file of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// firstPort and lastPort bound the ports in use. They are below those that systems give to outgoing
// connections.
const firstPort, lastPort = 20_000, 29_999

// nextPort is the port that is tried next.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address with a free port, a different one each time.
func freeAddress() (address string, err error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		address = fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, failed := net.Listen("tcp", address)
		if err = failed; err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

func newDeployment(r *record, count int) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{directory: directory, store: standin.NewStore(partitions), record: r}
	for n := range count {
		h := &host{name: fmt.Sprintf("edge-a-%d", n+1), settings: filepath.Join(directory, fmt.Sprint("settings-", n)), log: filepath.Join(directory, fmt.Sprint("log-", n))}
		var peers string
		for _, address := range []*string{&h.callers, &h.readiness, &peers} {
			if *address, err = freeAddress(); err != nil {
				return d, err
			}
		}
		_, port, _ := net.SplitHostPort(peers)
		text := strings.Join([]string{
			"node_name=" + h.name, "role=entry", "machine_class=edge", "serves=edge", "ip=127.0.0.1", "zone=a", "region=r", "zones.a=r",
			wire("listen-front") + "=" + h.callers, "listen.ready_addr=" + h.readiness, "internal_ports=" + port + "," + port,
			"bootstrap=true", "limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=314", "limits.max_fds=8200", "limits.link_mbps=1000.0",
			"discovery=platform", "entry=vip", fmt.Sprintf("heartbeat_ms=%d", heartbeat.Milliseconds()),
			"bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000", "bounds.lease_ms=3000", "bounds.status_s=120", "bounds.cancel_ms=3000",
			"platform.address=" + d.store.Address(), "platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000", fmt.Sprintf("platform.parts=%d", partitions),
			"platform.record_bytes=262144", "platform.call_bytes=2097152", "platform.retention_s=20", "platform.part_mb=200", "platform.ttl_min_ms=1000", "",
		}, "\n")
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	h.command = exec.Command("target/platform")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEELADDER_NODE_FILE=" + h.settings}
	h.command.Stdout, h.command.Stderr = output, output
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.command.Start()
}

func (h *host) kill() {
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
	}
}

// startHosts starts all hosts and waits until they are ready and in touch.
func (d *deployment) startHosts() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for {
			response, err := client.Get("http://" + h.readiness + "/api/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("all hosts are ready")
	time.Sleep(contact)
	return nil
}

func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.kill()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println(d.directory)
	}
}

func (d *deployment) put(topic, key string, value []byte) {
	d.store.Put(storer.Partition{Topic: topicName(topic)}, storer.Record{Key: key, Value: value})
}
