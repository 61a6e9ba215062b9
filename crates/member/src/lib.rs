//! Identity of VMs and what they report about one another.
