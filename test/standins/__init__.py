"""Test the stand-ins, whose truth the other tests lean on."""
