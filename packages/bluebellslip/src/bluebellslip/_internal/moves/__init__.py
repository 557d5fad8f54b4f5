"""Gradual moves of a service's calls between versions.

Nodes exchange outcomes of calls as evidence, a policy evaluates the evidence,
and a coordinator with a lease changes the share of calls to the new version.
A return is a move back from a version that is suspected to be bad although its
move is done.
"""
