//! Prints the capacity table of docs/CAPACITY.md.

fn main() {
    print!("{}", snipehollow_benches::capacity::table());
}
