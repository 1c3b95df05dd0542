"""The upstream side: links, health, admission, warm-up and selection."""
