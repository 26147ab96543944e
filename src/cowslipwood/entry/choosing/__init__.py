"""What an entry knows of backend servers, and which of them gets a request."""
