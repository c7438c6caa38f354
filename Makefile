.PHONY: build test lint run toys sign

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace --all-features

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --all-features -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --all-features --no-deps --quiet

# A director for the toy deployment, with both fronts.
run: build
	ROUTER_CONFIG=examples/config.json FOXHOLD_FRONT=examples/foxhold.yaml target/release/foxhold

# The toy deployment; runs until it is stopped.
toys:
	cargo run --locked --example toy_server

# A signed link to try.
sign:
	@cargo run --locked --quiet --example sign -- /guide-videos/one.mp4
