"""The write path of configuration, and the audit trail."""
