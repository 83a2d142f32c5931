package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// fleet is the daemons of the system, started with the command and the template of the deploy file.
type fleet struct {
	root, dir string
	command   []string
	template  string
	store     *store
	duty      *duty
	record    *record
	daemons   []*daemon
}

type daemon struct {
	name, zone, ip       string
	front, ready, config string
	ports                [2]int
	cmd                  *exec.Cmd
	ended                chan struct{}
	starts               int
}

var quoted = regexp.MustCompile(`"([^"]*)"`)

// deployValue returns the first quoted value of a key in the deploy file.
func deployValue(text, key string) string {
	for _, line := range strings.Split(text, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
			if f := quoted.FindStringSubmatch(value); f != nil {
				return f[1]
			}
		}
	}
	return ""
}

func newFleet(root string, st *store, d *duty, rec *record) (*fleet, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, deployValue(string(deploy), "template")))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, dir: dir, command: strings.Fields(deployValue(string(deploy), "run")), template: string(template), store: st, duty: d, record: rec}, nil
}

// freeAddress returns a loopback address of its own for a daemon.
func freeAddress() string {
	return fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// start starts daemons in the zones and waits until all are ready.
func (f *fleet) start(zones ...string) error {
	for i, z := range zones {
		ip := freeAddress()
		d := &daemon{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, ip: ip}
		d.front, d.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
		d.ports = [2]int{freePort(ip), freePort(ip)}
		d.config = filepath.Join(f.dir, d.name+".ini")
		f.daemons = append(f.daemons, d)
		if err := f.launch(d, true); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if !d.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	return nil
}

// launch fills in the template and starts the process.
func (f *fleet) launch(d *daemon, first bool) error {
	text := strings.NewReplacer(
		"{{NodeName}}", d.name, "{{Zone}}", d.zone, "{{Ip}}", d.ip,
		"{{ListenAddrs.Front}}", d.front, "{{ListenAddrs.Ready}}", d.ready,
		"{{InternalPorts.0}}", fmt.Sprint(d.ports[0]), "{{InternalPorts.1}}", fmt.Sprint(d.ports[1]),
		"{{Bounds.DrainMs}}", "7000", "{{Bootstrap}}", fmt.Sprint(first), "{{Bounds.GraceS}}", "6",
		"{{platform.Address}}", f.store.address(), "{{CloudApi.Address}}", f.duty.l.Addr().String(),
		"{{Bounds.ConfigApplyMs}}", "3000", "{{Limits.MemoryMb}}", "284", "{{Limits.MaxFds}}", "4300",
		"{{#Bounds.QuotaWindowS}}\n", "", "{{Bounds.QuotaWindowS}}", "5", "{{/Bounds.QuotaWindowS}}\n", "",
	).Replace(f.template)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("a placeholder of the template is not known here: %s", text)
	}
	if err := os.WriteFile(d.config, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(f.root, f.command[0]), f.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CACTUSFORK_SETTINGS=" + d.config}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.starts = cmd, d.starts+1
	d.ended = make(chan struct{})
	ended := d.ended
	f.record.add("platform", "start "+d.name)
	go func() {
		_ = cmd.Wait() // the record has the reason
		f.record.add("platform", d.name+" ended: "+cmd.ProcessState.String())
		close(ended)
	}()
	return nil
}

func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + d.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// running reports whether the process of the daemon runs.
func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// stop ends all daemons and removes the folder, whose logs are kept if KEEP is set.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.cmd != nil && d.running() {
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range f.daemons {
			if b, err := os.ReadFile(filepath.Join(f.dir, d.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
}
