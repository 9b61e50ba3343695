"""What processes agree on through the key-value service: members, leader, view."""
