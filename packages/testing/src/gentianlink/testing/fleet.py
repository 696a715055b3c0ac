"""Run a small deployment as separate local processes."""

import pathlib
import signal
import subprocess
import sys
import tempfile

import attrs

from gentianlink.testing.loopback import get_own_address, get_ports

NODE_SETTINGS = """\
[node]
id = {node_id}
region = {region}
data_centre = {data_centre}

[listen]
address = {address}
call_port = {call_port}
mesh_port = {mesh_port}
admin_port = {admin_port}

[platform]
table_url = {platform_url}/table
object_url = {platform_url}/objects

[mesh]
{mesh_settings}
"""
STOP_TIMEOUT_S = 20
PLATFORM_ADDRESS_NUMBER = 250


@attrs.define
class Member:
    """A node and the target beside it.

    Attributes
    ----------
    node_id : str
        Id of the node.
    service : str
        Service of the target.
    data_centre : str
        Data centre of both.
    address : str
        Loopback IP address of both.
    call_port, mesh_port, admin_port, target_port : int
        TCP ports.
    node, target : subprocess.Popen or None
        Their processes; None if not started.
    """

    node_id: str
    service: str
    data_centre: str
    address: str
    call_port: int
    mesh_port: int
    admin_port: int
    target_port: int
    node: subprocess.Popen | None = None
    target: subprocess.Popen | None = None

    @property
    def call_url(self):
        """URL for calls."""
        return f"http://{self.address}:{self.call_port}"

    @property
    def admin_url(self):
        """URL of the admin port."""
        return f"http://{self.address}:{self.admin_port}"


class Fleet:
    """Processes of a deployment: the platform stand-in, nodes and targets.

    Parameters
    ----------
    region : str
        Region of all members.
    mesh_settings : str, optional
        Lines for the section ``mesh`` of every node's settings file.
    """

    def __init__(self, region, mesh_settings=""):
        self._region = region
        self._mesh_settings = mesh_settings
        self._directory = tempfile.TemporaryDirectory(prefix="gentianlink-")
        self._platform = None
        self._platform_address = get_own_address(PLATFORM_ADDRESS_NUMBER)
        self._platform_port = get_ports(1)[0]
        self._log = open(pathlib.Path(self._directory.name) / "log", "wb")
        self.members = []

    @property
    def platform_url(self):
        """URL of the platform stand-in."""
        return f"http://{self._platform_address}:{self._platform_port}"

    @property
    def log_path(self):
        """Path of the file with the output of all processes."""
        return pathlib.Path(self._log.name)

    def get_execution_log_path(self, member):
        """Return the path of the execution log of the member's target."""
        return pathlib.Path(self._directory.name) / f"target-{member.node_id}.log"

    def start_platform(self):
        """Start the platform stand-in."""
        arguments = (self._platform_address, str(self._platform_port))
        module = "gentianlink.testing.platform_service"
        self._platform = self.start([sys.executable, "-m", module, *arguments])

    def add_member(self, service, number, data_centre_number):
        """Add a node and its target without starting them.

        Parameters
        ----------
        service : str
            Service of the target.
        number : int
            Number of the member within the service.
        data_centre_number : int
            Number of the data centre, from 1.

        Returns
        -------
        Member
            The member.
        """
        address = get_own_address(data_centre_number)
        ports = get_ports(4)
        data_centre = f"{self._region}-{data_centre_number}"
        name = f"{service}-{number}"
        member = Member(name, service, data_centre, address, *ports)
        self.members.append(member)
        return member

    def start_node(self, member):
        """Start the node of a member."""
        path = pathlib.Path(self._directory.name) / f"{member.node_id}.ini"
        values = attrs.asdict(member, recurse=False)
        text = NODE_SETTINGS.format(
            region=self._region,
            platform_url=self.platform_url,
            mesh_settings=self._mesh_settings,
            **values,
        )
        path.write_text(text)
        binary = pathlib.Path(sys.executable).parent / "gentianlink-node"
        member.node = self.start([str(binary), str(path)])

    def start_target(self, member, slots, work_ms):
        """Start the target of a member."""
        module = "gentianlink.testing.target"
        command = [sys.executable, "-m", module, member.service]
        command += [f"target-{member.node_id}", str(member.target_port)]
        command += [member.admin_url, "--address", member.address]
        command += ["--slots", str(slots), "--work-ms", str(work_ms)]
        command += ["--log-path", str(self.get_execution_log_path(member))]
        member.target = self.start(command)

    def start(self, command):
        """Start a process whose standard output and errors go to the log file."""
        return subprocess.Popen(command, stdout=self._log, stderr=self._log)

    def stop(self):
        """Stop targets, nodes and platform in this order, then remove their files."""
        groups = (
            [member.target for member in self.members],
            [member.node for member in self.members],
            [self._platform],
        )
        for group in groups:
            running = [process for process in group if process is not None]
            for process in running:
                process.send_signal(signal.SIGTERM)
            for process in running:
                wait_or_kill(process)
        self._log.close()
        self._directory.cleanup()


def wait_or_kill(process):
    """Wait for a process; kill it if it does not end within `STOP_TIMEOUT_S`.

    Parameters
    ----------
    process : subprocess.Popen
        The process.
    """
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
