package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is one process of the program under test.
type daemon struct {
	name   string
	front  string
	ready  string
	file   string
	cmd    *exec.Cmd
	log    *os.File
	stopAt time.Time
}

// fleet starts the daemons of a case.
type fleet struct {
	dir     string
	store   string
	record  *record
	daemons []*daemon
}

// Ports for daemons. They are below those that the system gives to connections, which might take them before a daemon listens.
const (
	firstPort = 12000
	lastPort  = 31000
)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no free port")
}

// start starts one daemon with settings as the template of the deploy file gives them.
func (f *fleet) start(name, zone string) (*daemon, error) {
	var a [5]string
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text := strings.NewReplacer(
		"{{NodeName}}", name, "{{Zone}}", zone, "{{ListenAddrs.Front}}", a[0], "{{ListenAddrs.Ready}}", a[1],
		"{{Ip}}:{{InternalPorts.0}}", a[2], "{{Ip}}:{{InternalPorts.1}}", a[3], "{{Ip}}:9464", a[4],
		"{{Bounds.DrainMs}}", "7000", "{{Bootstrap}}", "true", "{{Bounds.GraceS}}", "6", "{{platform.Address}}", f.store,
		"{{CloudApi.Address}}", f.store, "{{Bounds.ConfigApplyMs}}", "3000", "{{Limits.MemoryMb}}", "284", "{{Limits.MaxFds}}", "4300",
	).Replace(template)
	d := &daemon{name: name, front: a[0], ready: a[1], file: filepath.Join(f.dir, name+".ini")}
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := d.run(); err != nil {
		return nil, err
	}
	f.daemons = append(f.daemons, d)
	return d, nil
}

// run starts the process of the daemon.
func (d *daemon) run() error {
	d.cmd = exec.Command("target/cactusfork", "edge")
	d.cmd.Env = append(os.Environ(), "CACTUSFORK_SETTINGS="+d.file)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for {
			res, err := http.Get("http://" + d.ready + "/-/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// signal sends a signal to the daemon.
func (f *fleet) signal(d *daemon, s syscall.Signal) {
	f.record.add("%s gets %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	}
}

// owns reports whether the daemon's process owns the other end of a connection to a stand-in.
func (d *daemon) owns(c net.Conn) bool {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	local := fmt.Sprintf("0100007F:%04X", remote.Port)
	for _, l := range strings.Split(string(table), "\n") {
		f := strings.Fields(l)
		if len(f) < 10 || f[1] != local {
			continue
		}
		fds := fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)
		links, err := os.ReadDir(fds)
		if err != nil {
			return false
		}
		for _, link := range links {
			if to, err := os.Readlink(filepath.Join(fds, link.Name())); err == nil && to == "socket:["+f[9]+"]" {
				return true
			}
		}
	}
	return false
}
