"""``bluebell nodes``: the nodes by region and failure domain."""

import itertools

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.status_codes import SUCCESS
from bluebellslip._internal.cli.wording import describe_nodes, say_count
from bluebellslip._internal.models.views import NodesBody, NodeView


class NodesCommand(Command):
    """Lists the members that the answering node knows of."""

    def run(self) -> int:
        """Show the nodes."""
        body = self._client.get('/v1/nodes', NodesBody)
        self._console.show(body, describe_places(body))
        return SUCCESS


def describe_places(body: NodesBody) -> str:
    """Return the nodes under their region and failure domain."""
    lines = [f'{say_count(len(body.nodes), "node")} known']
    ordered = sorted(body.nodes, key=_find_place)
    for place, nodes in itertools.groupby(ordered, key=_find_place):
        members = list(nodes)
        region, failure_domain = place
        count = say_count(len(members), 'node')
        lines.append(f'{region}, failure domain {failure_domain}: {count}')
        lines += [f'  {line}' for line in describe_nodes(members)]
    return '\n'.join(lines)


def _find_place(node: NodeView) -> tuple[str, str]:
    return (node.region, node.failure_domain)
