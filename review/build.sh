#!/bin/sh
# Builds the stand-ins that the cases' scripts start, into target/review. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -encoding UTF-8 -d target/review review/standins/*.java
