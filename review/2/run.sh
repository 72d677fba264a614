#!/bin/bash
cd "$(dirname "$0")" && exec ../bin/cases limit-after-a-kill
