"""``bluebell nodes``: list the nodes by region and failure domain."""

import itertools

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.formatting import describe_nodes, format_count
from bluebellslip._internal.models.views import NodesBody, NodeView


class NodesCommand(Command):
    """Lists the members that the called node knows."""

    def run(self) -> int:
        """Show the nodes."""
        body = self._client.get('/v1/nodes', NodesBody)
        self._console.show(body, describe_nodes_by_locality(body))
        return SUCCESS


def describe_nodes_by_locality(body: NodesBody) -> str:
    """Return lines with the nodes under their region and failure domain."""
    lines = [f'{format_count(len(body.nodes), "node")} known']
    ordered = sorted(body.nodes, key=_get_locality)
    for locality, nodes in itertools.groupby(ordered, key=_get_locality):
        members = list(nodes)
        region, failure_domain = locality
        count = format_count(len(members), 'node')
        lines.append(f'{region}, failure domain {failure_domain}: {count}')
        lines += [f'  {line}' for line in describe_nodes(members)]
    return '\n'.join(lines)


def _get_locality(node: NodeView) -> tuple[str, str]:
    return (node.region, node.failure_domain)
