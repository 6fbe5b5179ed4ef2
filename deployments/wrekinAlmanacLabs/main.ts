import { printDeployment } from '../../src/index.js';
import { documentationUrls } from '../sample.js';
import { wrekinAlmanacLabs } from './deployment.js';

printDeployment(wrekinAlmanacLabs(documentationUrls()));
