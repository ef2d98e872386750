package fabric

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/songgao/water"
	"golang.org/x/sys/unix"
)

// TUNConfig describes a TUN device.
type TUNConfig struct {
	Name string // if empty, the kernel chooses it
	// Address is the address of the device with its prefix length. If it is not valid, the address and the
	// state of the device are left as the operator has configured them.
	Address netip.Prefix
	MTU     int // bytes; if zero, the kernel chooses it
}

// TUN is a Conn over a TUN device. Its datagrams are IP packets and have no address. ReadBatch returns one
// packet at a time, because the device has no batched read.
type TUN struct {
	device *water.Interface
}

// OpenTUN opens a TUN device, or creates it if it does not exist, and configures it.
func OpenTUN(cfg TUNConfig) (*TUN, error) {
	if len(cfg.Name) >= unix.IFNAMSIZ {
		return nil, errors.Newf("TUN device name %q is longer than %d bytes", cfg.Name, unix.IFNAMSIZ-1)
	}
	device, err := water.New(water.Config{
		DeviceType:             water.TUN,
		PlatformSpecificParams: water.PlatformSpecificParams{Name: cfg.Name},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "open TUN device %q", cfg.Name)
	}
	if err := configureTUN(device.Name(), cfg); err != nil {
		_ = device.Close()
		return nil, err
	}
	return &TUN{device: device}, nil
}

// configureTUN sets the MTU of a device if cfg has one. If cfg has an address, it sets the address and
// brings the device up.
func configureTUN(name string, cfg TUNConfig) error {
	if !cfg.Address.IsValid() && cfg.MTU == 0 {
		return nil
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrap(err, "open a socket to configure the TUN device")
	}
	defer func() { _ = unix.Close(socket) }()
	ioctl := func(action string, number uint, fill func(*unix.Ifreq) error) error {
		ifreq, err := unix.NewIfreq(name)
		if err == nil {
			err = fill(ifreq)
		}
		if err == nil {
			err = unix.IoctlIfreq(socket, number, ifreq)
		}
		return errors.Wrapf(err, "%s of TUN device %q", action, name)
	}
	if cfg.MTU != 0 {
		err := ioctl("set MTU", unix.SIOCSIFMTU, func(r *unix.Ifreq) error {
			r.SetUint32(uint32(cfg.MTU))
			return nil
		})
		if err != nil {
			return err
		}
	}
	if !cfg.Address.IsValid() {
		return nil
	}
	err = ioctl("set address", unix.SIOCSIFADDR, func(r *unix.Ifreq) error {
		return r.SetInet4Addr(cfg.Address.Addr().AsSlice())
	})
	if err != nil {
		return err
	}
	err = ioctl("set netmask", unix.SIOCSIFNETMASK, func(r *unix.Ifreq) error {
		return r.SetInet4Addr(net.CIDRMask(cfg.Address.Bits(), cfg.Address.Addr().BitLen()))
	})
	if err != nil {
		return err
	}
	return ioctl("set flags", unix.SIOCSIFFLAGS, func(r *unix.Ifreq) error {
		r.SetUint16(unix.IFF_UP | unix.IFF_RUNNING | unix.IFF_POINTOPOINT | unix.IFF_NOARP)
		return nil
	})
}

// Name returns the name of the device.
func (t *TUN) Name() string {
	return t.device.Name()
}

// ReadBatch implements Conn.
func (t *TUN) ReadBatch(batch []Datagram) (int, error) {
	if len(batch) == 0 {
		return 0, nil
	}
	buf := batch[0].Data[:cap(batch[0].Data)]
	n, err := t.device.Read(buf)
	if err != nil {
		return 0, err
	}
	batch[0].Data = buf[:n]
	batch[0].Addr = netip.AddrPort{}
	return 1, nil
}

// WriteBatch implements Conn.
func (t *TUN) WriteBatch(batch []Datagram) (int, error) {
	for i := range batch {
		if _, err := t.device.Write(batch[i].Data); err != nil {
			return i, err
		}
	}
	return len(batch), nil
}

// LocalAddr implements Conn. It returns the zero AddrPort.
func (t *TUN) LocalAddr() netip.AddrPort {
	return netip.AddrPort{}
}

// Close implements Conn.
func (t *TUN) Close() error {
	return t.device.Close()
}
