#!/bin/bash
cd "$(dirname "$0")" && exec ../bin/cases stale-evacuation-order
