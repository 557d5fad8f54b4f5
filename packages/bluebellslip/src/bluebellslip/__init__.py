"""Configuration distribution for a service mesh: kernel and plug-ins."""
